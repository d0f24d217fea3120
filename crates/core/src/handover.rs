//! Moves of shares from a target to others, from the end of admission to the record of the move.

use std::collections::BTreeMap;

use crate::{
    action::Action,
    balance::{Availability, Move, Planner, Settings, Target, View},
    contract::Contract,
    key::Digest,
    name,
    node::Node,
    number::Offset,
    record::{self, Record, Share},
    request::Refusal,
    table::Service,
    target_state::{self, TargetState},
    time::{Instant, Span},
};

/// Interval between plans that only rebalance load. Each plan examines all slices of a service.
const REBALANCE_INTERVAL: Span = Span::from_secs(1);

/// Shares that a holder is moving away from its target.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    /// Service of the target.
    pub(crate) service: name::Service,
    /// Each moving share with its new owner.
    pub(crate) shares: Vec<(Share, name::Target)>,
    /// The submitted [`Record::Move`], if it is submitted.
    pub(crate) submitted: Option<Submission>,
}

/// A [`Record::Move`] that this process has submitted and not read yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission {
    /// Identifier of the entry.
    id: record::Id,
    /// Offset that this process had applied, as the record names it.
    after: Offset,
}

impl Submission {
    /// Returns whether a contract shows that the record is decided. The record marks its contract as
    /// changed whether it is applied or refused, and is refused if the contract has changed before.
    pub(crate) fn is_decided(&self, contract: &Contract) -> bool {
        contract.changed > self.after
    }
}

impl Handover {
    /// Returns whether a key is among the moving shares.
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
            false => REBALANCE_INTERVAL,
        };
        if now.since(self.last_plan) >= interval && self.is_log_current(now) {
            self.last_plan = now;
            self.plan_moves(now, actions);
        }
        let targets: Vec<_> = self.target_states.keys().cloned().collect();
        for target in targets {
            self.submit_handover(now, &target, actions);
        }
    }

    /// Returns whether this process holds a target whose shares must all move: one that is lost or
    /// draining.
    fn has_urgent_moves(&self) -> bool {
        let mut states = self.target_states.iter();
        states.any(|(target, state)| state.is_lost() || self.is_draining(target))
    }

    fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let rows = self.ledger.table().services.iter();
        let rows: Vec<name::Service> = rows
            .filter(|(_, row)| row.divided_by_key)
            .filter(|(_, row)| {
                self.target_states
                    .keys()
                    .any(|t| row.targets.contains_key(t))
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in rows {
            for (from, shares) in self.plan_service(now, &service) {
                self.freeze(now, &service, &from, shares, actions);
            }
        }
    }

    /// Returns the moves from targets that this process may act on, by source.
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
        let targets = self.availabilities(now, &row, assignment);
        let slices = self.slice_loads(&row, assignment);
        let keys = self.key_loads(&row);
        let view = View {
            assignment,
            targets: &targets,
            slices: &slices,
            keys: &keys,
        };
        let planner = self.planners.entry(service.clone());
        let planner = planner.or_insert_with(|| Planner::new(Settings::from(&row)));
        let moves = planner.next_moves(now, &view);
        let mut own: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for Move { share, from, to } in moves {
            let state = self
                .target_states
                .get(&from)
                .filter(|d| d.handover.is_none());
            let times = &self.config.times;
            if state.is_some() && self.ownership.epoch(&from, now, times).is_some() {
                own.entry(from).or_default().push((share, to));
            }
        }
        own
    }

    /// Returns weight and availability of each target, including owners that the table no longer
    /// has.
    fn availabilities(
        &self,
        now: Instant,
        row: &Service,
        assignment: &crate::ledger::Assignment,
    ) -> BTreeMap<name::Target, Target> {
        let removed = assignment.slices.iter().chain(assignment.keys.values());
        let removed = removed.filter(|target| !row.targets.contains_key(*target));
        let mut targets: BTreeMap<_, _> = removed
            .map(|target| {
                let availability = Availability::Draining;
                let weight = 0;
                (
                    target.clone(),
                    Target {
                        weight,
                        availability,
                    },
                )
            })
            .collect();
        for (target, place) in &row.targets {
            let availability = self.availability(now, target);
            let capacity = self.capacity_percent(now, target);
            let weight = place.weight * capacity;
            targets.insert(
                target.clone(),
                Target {
                    weight,
                    availability,
                },
            );
        }
        targets
    }

    fn availability(&self, now: Instant, target: &name::Target) -> Availability {
        let lost = self.is_lost(target);
        match self.target_states.get(target) {
            Some(state) if lost && self.has_ended(now, target, state) => Availability::Lost,
            _ if lost => Availability::Closed,
            _ if self.is_draining(target) => Availability::Draining,
            _ if !self.has_answering_holder(now, target) => Availability::Closed,
            _ => Availability::Accepting,
        }
    }

    /// Returns whether a target has a live holder that knows that the target answers probes.
    ///
    /// Reports alone are not enough: after the loss of a data centre, the last reports of its
    /// lost holders still show its other targets as healthy.
    fn has_answering_holder(&self, now: Instant, target: &name::Target) -> bool {
        if let Some(state) = self.target_states.get(target) {
            return state.start_id().is_some();
        }
        let contract = self.ledger.contracts().get(target);
        let held = contract.is_some_and(|contract| {
            contract.confirmed
                && contract.released.is_none()
                && self.is_responsive(&contract.holder, now)
        });
        let report = self.reports.get(target);
        held && report.is_some_and(|report| report.start_id.is_some())
    }

    fn capacity_percent(&self, now: Instant, target: &name::Target) -> u32 {
        match (self.target_states.get(target), self.reports.get(target)) {
            (Some(state), _) => state.capacity_percent(now),
            (None, Some(report)) => report.capacity_percent,
            (None, None) => 100,
        }
    }

    /// Returns the load of each slice. The load that a peer reports for a target is spread evenly
    /// over the target's slices.
    fn slice_loads(&self, row: &Service, assignment: &crate::ledger::Assignment) -> Vec<u64> {
        let mut counts: BTreeMap<&name::Target, u64> = BTreeMap::new();
        for owner in &assignment.slices {
            *counts.entry(owner).or_default() += 1;
        }
        let slices = assignment.slices.iter().enumerate();
        let load = |(number, owner): (usize, &name::Target)| match self.target_states.get(owner) {
            Some(state) => state
                .slice_busy_us
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
        let own = row.targets.keys().filter_map(|t| self.target_states.get(t));
        let heavy =
            own.flat_map(|state| state.key_busy_us.heavy(u64::from(row.hot_key_percent) * 5));
        heavy
            .map(|(key, count)| (key, count.lower_bound()))
            .collect()
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
        let Some(state) = self.target_states.get_mut(from) else {
            return;
        };
        state.handover = Some(Handover {
            service: service.clone(),
            shares,
            submitted: None,
        });
        self.requeue(now, from, actions);
    }

    /// Returns all requests that are queued for a target to routing.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let mut decisions = Vec::new();
        if let Some(state) = self.target_states.get_mut(target) {
            state.queue.clear(Refusal::Moving, &mut decisions);
        }
        self.apply_decisions(now, target, decisions, actions);
        self.route_waiting(now, actions);
    }

    fn submit_handover(&mut self, now: Instant, target: &name::Target, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        let Some(epoch) = self.ownership.epoch(target, now, times) else {
            return;
        };
        // A change of standbys and a move that are in flight together would refuse each other,
        // since each is valid only if the contract has not changed since it was written.
        let held = self.ownership.held().get(target);
        let settled = held.is_some_and(|held| held.is_confirmed());
        if !settled || self.ownership.is_changing_standbys(epoch) {
            return;
        }
        let Some(state) = self.target_states.get(target) else {
            return;
        };
        let Some(handover) = state.handover.as_ref().filter(|h| h.submitted.is_none()) else {
            return;
        };
        let ready = match state.is_lost() {
            true => self.has_ended(now, target, state),
            false => {
                now >= self.earliest_move(target, state)
                    && !self.has_running_requests(state, handover)
            }
        };
        if !state.is_lost() && !self.is_log_available(now) {
            return self.cancel_handover(now, target, actions);
        }
        if !ready {
            return;
        }
        let service = handover.service.clone();
        let shares = handover.shares.clone();
        let id = self.next_entry();
        let after = self.ledger.offset();
        let record = Record::Move {
            service,
            from: target.clone(),
            epoch,
            shares,
            after,
        };
        if let Some(handover) = self
            .target_states
            .get_mut(target)
            .and_then(|d| d.handover.as_mut())
        {
            handover.submitted = Some(Submission { id, after });
        }
        self.append_as(
            id,
            "target leaves, is lost or has too much load",
            record,
            actions,
        );
    }

    /// Cancels a move that is not submitted yet, because the log does not answer.
    fn cancel_handover(&mut self, now: Instant, target: &name::Target, actions: &mut Vec<Action>) {
        if let Some(state) = self.target_states.get_mut(target) {
            state.handover = None;
        }
        self.route_waiting(now, actions);
    }

    /// Returns whether a lost target can no longer serve any request that was sent to it.
    fn has_ended(&self, now: Instant, target: &name::Target, state: &TargetState) -> bool {
        match self.checks_epoch(target) {
            true => now >= state.grant_end() && now >= self.earliest_move(target, state),
            false => now >= state.last_deadline && now >= self.earliest_move(target, state),
        }
    }

    /// Returns when shares may move at the earliest. At a target that checks epochs, the grants of the
    /// previous holder must have expired, which end with its lease, unless the target refuses them.
    /// At another one, the previous holder's requests must have ended.
    fn earliest_move(&self, target: &name::Target, state: &TargetState) -> Instant {
        let row = self.ledger.table().target(target);
        let wait = match self.checks_epoch(target) {
            true if state.refuses_earlier_grants() => Span::ZERO,
            true => self.config.times.short_wait(),
            false => row.map_or(Span::ZERO, |(_, row, _)| row.deadline),
        };
        state.held_since + wait
    }

    fn checks_epoch(&self, target: &name::Target) -> bool {
        let row = self.ledger.table().target(target);
        row.is_some_and(|(_, _, place)| place.checks_epoch)
    }

    /// Returns whether a request for a moving share still runs.
    fn has_running_requests(&self, state: &TargetState, handover: &Handover) -> bool {
        let mut running = state.queue.in_flight().filter_map(|id| {
            let pending = self.tickets.get(&target_state::ticket(id))?;
            let head = &pending.arrival.head;
            let row = self.ledger.table().services.get(&head.service)?;
            Some(handover.has(head.key.unwrap_or(head.request.key), row.slices))
        });
        running.any(|moves| moves)
    }

    /// Updates the handover, the loads and the plan after a [`Record::Move`].
    pub(crate) fn apply_move(
        &mut self,
        now: Instant,
        id: record::Id,
        service: &name::Service,
        shares: &[(Share, name::Target)],
        from: &name::Target,
    ) {
        if let Some(state) = self.target_states.get_mut(from) {
            let is_read = |handover: &Handover| handover.submitted.is_some_and(|s| s.id == id);
            state.handover.take_if(|handover| is_read(handover));
            for (share, _) in shares {
                if let Share::Slice(slice) = share {
                    state.slice_busy_us.remove(slice);
                }
            }
        }
        let planner = self.planners.get_mut(service);
        if let Some(planner) = planner {
            shares
                .iter()
                .for_each(|(share, _)| planner.record_move(now, *share));
        }
    }
}
