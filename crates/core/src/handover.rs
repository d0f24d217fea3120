//! Moves of shares from a target to others, from the end of admission to their record.

use std::collections::BTreeMap;

use crate::{
    action::Action,
    balance::{Condition, Move, Plan, Settings, Target, View},
    desk::{self, Desk},
    key::Digest,
    name,
    node::Node,
    record::{self, Record, Share},
    request::Refusal,
    table::Service,
    time::{Instant, Span},
};

/// Interval between plans that only level the load, which looks at all slices of a service.
const LEVELLING: Span = Span::from_secs(1);

/// Shares that a holder is moving away from its target.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    /// Service of the target.
    pub(crate) service: name::Service,
    /// What moves, and where to.
    pub(crate) shares: Vec<(Share, name::Target)>,
    /// Identifier of the submitted record.
    pub(crate) submitted: Option<record::Id>,
}

impl Handover {
    /// Tells whether a key is on its way.
    pub(crate) fn has(&self, key: Digest, slices: u32) -> bool {
        let slice = key.slice(slices);
        self.shares.iter().any(|(share, _)| match share {
            Share::Key(moved) | Share::Merge(moved) => *moved == key,
            Share::Slice(moved) => *moved == slice,
        })
    }
}

impl Node {
    /// Plans and submits moves for the services whose targets this process holds.
    pub(crate) fn hand_over(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let interval = match self.has_urgent_moves() {
            true => self.config.times.heartbeat,
            false => LEVELLING,
        };
        if now.since(self.planned) >= interval && self.has_answered(now) {
            self.planned = now;
            self.plan_moves(now, actions);
        }
        let targets: Vec<_> = self.desks.keys().cloned().collect();
        for target in targets {
            self.submit_handover(now, &target, actions);
        }
    }

    /// Tells whether a target held here is to be emptied.
    fn has_urgent_moves(&self) -> bool {
        let mut desks = self.desks.iter();
        desks.any(|(target, desk)| desk.is_lost() || !self.ledger.has_work(target))
    }

    fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let rows = self.ledger.table().services.iter();
        let rows: Vec<name::Service> = rows
            .filter(|(_, row)| row.divided_by_key)
            .filter(|(_, row)| self.desks.keys().any(|t| row.targets.contains_key(t)))
            .map(|(service, _)| service.clone())
            .collect();
        for service in rows {
            for (from, shares) in self.plan_service(now, &service) {
                self.freeze(now, &service, &from, shares, actions);
            }
        }
    }

    /// Returns the moves from targets that this process commands, by source.
    fn plan_service(
        &mut self,
        now: Instant,
        service: &name::Service,
    ) -> BTreeMap<name::Target, Vec<(Share, name::Target)>> {
        let Some(row) = self.ledger.table().services.get(service).cloned() else {
            return BTreeMap::new();
        };
        let Some(assignment) = self.ledger.assignments().get(service) else {
            return BTreeMap::new();
        };
        let targets = self.conditions(now, &row, assignment);
        let slices = self.slice_loads(&row, assignment);
        let keys = self.key_loads(&row);
        let view = View {
            assignment,
            targets: &targets,
            slices: &slices,
            keys: &keys,
        };
        let plan = self.plans.entry(service.clone());
        let plan = plan.or_insert_with(|| Plan::new(Settings::from(&row)));
        let moves = plan.next(now, &view);
        let mut own: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for Move { share, from, to } in moves {
            let desk = self.desks.get(&from).filter(|d| d.handover.is_none());
            let times = &self.config.times;
            if desk.is_some() && self.ownership.epoch(&from, now, times).is_some() {
                own.entry(from).or_default().push((share, to));
            }
        }
        own
    }

    /// Returns what each target may give and take, with targets that the table no longer has.
    fn conditions(
        &self,
        now: Instant,
        row: &Service,
        assignment: &crate::ledger::Assignment,
    ) -> BTreeMap<name::Target, Target> {
        let removed = assignment.slices.iter().chain(assignment.keys.values());
        let removed = removed.filter(|target| !row.targets.contains_key(*target));
        let mut targets: BTreeMap<_, _> = removed
            .map(|target| {
                let condition = Condition::Leaves;
                let weight = 0;
                (target.clone(), Target { weight, condition })
            })
            .collect();
        for (target, place) in &row.targets {
            let condition = self.condition(now, target);
            let capacity = self.capacity_percent(now, target);
            let weight = place.weight * capacity;
            targets.insert(target.clone(), Target { weight, condition });
        }
        targets
    }

    fn condition(&self, now: Instant, target: &name::Target) -> Condition {
        let lost = self.is_lost(target);
        match self.desks.get(target) {
            Some(desk) if lost && self.has_ended(now, target, desk) => Condition::Gone,
            _ if lost => Condition::Keeps,
            _ if !self.ledger.has_work(target) => Condition::Leaves,
            _ if !self.is_attended(now, target) => Condition::Keeps,
            _ => Condition::Takes,
        }
    }

    /// Tells whether a target's holder knows that it answers.
    ///
    /// After the loss of a data centre, its other targets would look fine by the last reports of
    /// holders that are lost as well.
    fn is_attended(&self, now: Instant, target: &name::Target) -> bool {
        if let Some(desk) = self.desks.get(target) {
            return desk.start().is_some();
        }
        let contract = self.ledger.contracts().get(target);
        let attended = contract.is_some_and(|contract| {
            contract.confirmed && contract.released.is_none() && self.hears(&contract.holder, now)
        });
        let report = self.reports.get(target);
        attended && report.is_some_and(|report| report.start.is_some())
    }

    fn capacity_percent(&self, now: Instant, target: &name::Target) -> u32 {
        match (self.desks.get(target), self.reports.get(target)) {
            (Some(desk), _) => desk.health.capacity_percent(now),
            (None, Some(report)) => report.capacity_percent,
            (None, None) => 100,
        }
    }

    /// Returns the load of each slice. A peer's load is spread evenly over its slices.
    fn slice_loads(&self, row: &Service, assignment: &crate::ledger::Assignment) -> Vec<u64> {
        let mut counts: BTreeMap<&name::Target, u64> = BTreeMap::new();
        for owner in &assignment.slices {
            *counts.entry(owner).or_default() += 1;
        }
        let slices = assignment.slices.iter().enumerate();
        let load = |(number, owner): (usize, &name::Target)| match self.desks.get(owner) {
            Some(desk) => desk
                .slices
                .get(&crate::number::Slice(number as u32))
                .copied()
                .unwrap_or_default(),
            None => {
                let load = self.reports.get(owner).map_or(0, |report| report.load);
                load / counts[owner].max(1)
            }
        };
        slices.map(load).take(row.slices as usize).collect()
    }

    fn key_loads(&self, row: &Service) -> BTreeMap<Digest, u64> {
        let own = row.targets.keys().filter_map(|t| self.desks.get(t));
        let heavy = own.flat_map(|desk| desk.keys.heavy(u64::from(row.hot_key_percent) * 5));
        heavy.map(|(key, count)| (key, count.least())).collect()
    }

    /// Ends admission for shares that are to move.
    fn freeze(
        &mut self,
        now: Instant,
        service: &name::Service,
        from: &name::Target,
        shares: Vec<(Share, name::Target)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(desk) = self.desks.get_mut(from) else {
            return;
        };
        desk.handover = Some(Handover {
            service: service.clone(),
            shares,
            submitted: None,
        });
        self.requeue(now, from, actions);
    }

    /// Sends all requests that wait for a target back to routing.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let mut decisions = Vec::new();
        if let Some(desk) = self.desks.get_mut(target) {
            desk.queue.clear(Refusal::Moving, &mut decisions);
        }
        self.carry_out(now, target, decisions, actions);
        self.route_waiting(now, actions);
    }

    fn submit_handover(&mut self, now: Instant, target: &name::Target, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        let Some(epoch) = self.ownership.epoch(target, now, times) else {
            return;
        };
        // The records that confirm a contract and that move its shares would refuse each other.
        let held = self.ownership.held().get(target);
        let settled = held.is_some_and(|held| held.is_confirmed());
        if !settled || self.ownership.is_renaming(epoch) {
            return;
        }
        let Some(desk) = self.desks.get(target) else {
            return;
        };
        let Some(handover) = desk.handover.as_ref().filter(|h| h.submitted.is_none()) else {
            return;
        };
        let ready = match desk.is_lost() {
            true => self.has_ended(now, target, desk),
            false => now >= self.earliest_move(target, desk) && !self.runs_moving(desk, handover),
        };
        if !desk.is_lost() && !self.is_reading(now) {
            return self.resume_shares(now, target, actions);
        }
        if !ready {
            return;
        }
        let service = handover.service.clone();
        let shares = handover.shares.clone();
        let id = self.next_entry();
        let record = Record::Move {
            service,
            from: target.clone(),
            epoch,
            shares,
            after: self.ledger.offset(),
        };
        if let Some(handover) = self.desks.get_mut(target).and_then(|d| d.handover.as_mut()) {
            handover.submitted = Some(id);
        }
        self.append_as(
            id,
            "target leaves, is lost or has too much load",
            record,
            actions,
        );
    }

    /// Gives up a move that is not submitted, because the log does not answer.
    fn resume_shares(&mut self, now: Instant, target: &name::Target, actions: &mut Vec<Action>) {
        if let Some(desk) = self.desks.get_mut(target) {
            desk.handover = None;
        }
        self.route_waiting(now, actions);
    }

    /// Tells whether a lost target can no longer serve anything that was sent to it.
    fn has_ended(&self, now: Instant, target: &name::Target, desk: &Desk) -> bool {
        let times = &self.config.times;
        match self.checks_epoch(target) {
            true => now >= desk.grant_end(times),
            false => now >= desk.last_deadline && now >= self.earliest_move(target, desk),
        }
    }

    /// Returns when requests of the previous holder have ended at a target that does not check.
    fn earliest_move(&self, target: &name::Target, desk: &Desk) -> Instant {
        let row = self.ledger.table().target(target);
        match self.checks_epoch(target) {
            true => desk.since,
            false => desk.since + row.map(|(_, row, _)| row.deadline).unwrap_or(Span::ZERO),
        }
    }

    fn checks_epoch(&self, target: &name::Target) -> bool {
        let row = self.ledger.table().target(target);
        row.is_some_and(|(_, _, place)| place.checks_epoch)
    }

    /// Tells whether a request for a moving share still runs.
    fn runs_moving(&self, desk: &Desk, handover: &Handover) -> bool {
        let mut running = desk.queue.in_flight().filter_map(|id| {
            let held = self.tickets.get(&desk::ticket(id))?;
            let head = &held.arrival.head;
            let row = self.ledger.table().services.get(&head.service)?;
            Some(handover.has(head.key.unwrap_or(head.request.key), row.slices))
        });
        running.any(|moves| moves)
    }

    /// Follows a record of moves.
    pub(crate) fn moved(
        &mut self,
        now: Instant,
        id: record::Id,
        service: &name::Service,
        shares: &[(Share, name::Target)],
        from: &name::Target,
    ) {
        if let Some(desk) = self.desks.get_mut(from) {
            desk.handover.take_if(|h| h.submitted == Some(id));
            for (share, _) in shares {
                if let Share::Slice(slice) = share {
                    desk.slices.remove(slice);
                }
            }
        }
        let plan = self.plans.get_mut(service);
        if let Some(plan) = plan {
            shares.iter().for_each(|(share, _)| plan.note(now, *share));
        }
    }
}
