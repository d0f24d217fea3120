//! Requests of a node: routing, admission, registration and their ends.

use crate::{
    action::{Action, Start},
    event::{Arrival, Finish, Ticket},
    key::Digest,
    name,
    node::{Held, Node, Phase},
    number::Offset,
    record::{self, Record},
    request::{self, Refusal},
    table,
    time::{Instant, Span},
};

/// Shortest time after which a refused caller should try again.
const RETRY_AFTER: Span = Span::from_secs(1);

impl Node {
    pub(crate) fn arrive(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let ticket = arrival.ticket;
        let phase = Phase::Waiting;
        self.tickets.insert(ticket, Held { arrival, phase });
        self.route(now, ticket, actions);
    }

    pub(crate) fn route_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let waiting = self
            .tickets
            .iter()
            .filter(|(_, held)| held.phase == Phase::Waiting);
        let waiting: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            self.route(now, ticket, actions);
        }
    }

    fn route(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let arrival = held.arrival.clone();
        if self.ledger.offset() < arrival.known {
            return;
        }
        let Some(row) = self.ledger.table().services.get(&arrival.head.service) else {
            if self.ledger.version().0 > 0 {
                self.refuse(ticket, Refusal::UnknownService, None, actions);
            }
            return;
        };
        let Some(target) = self.choose(now, row, &arrival) else {
            return;
        };
        if self
            .ownership
            .epoch(&target, now, &self.config.times)
            .is_some()
        {
            self.admit(now, ticket, &target, actions);
        } else {
            self.pass_on(now, ticket, &target, actions);
        }
    }

    /// Chooses the target of a request: its key's owner, or any target if the service isn't
    /// divided by key.
    fn choose(
        &self,
        now: Instant,
        row: &table::Service,
        arrival: &Arrival,
    ) -> Option<name::Target> {
        let head = &arrival.head;
        if row.divided_by_key {
            let key = head.key.unwrap_or(head.request.key);
            return self.ledger.owner(&head.service, key).cloned();
        }
        let usable = row.targets.keys().filter(|t| self.is_usable(now, t));
        let held = |t: &&name::Target| self.desks.contains_key(*t);
        let usable: Vec<&name::Target> = match arrival.forwarded {
            true => usable.filter(held).collect(),
            false => usable.collect(),
        };
        let first = arrival.ticket.0 as usize;
        let second = first.wrapping_mul(2_654_435_761).wrapping_add(1);
        let samples = [first, second].into_iter();
        let samples = samples.filter_map(|n| usable.get(n.checked_rem(usable.len())?));
        samples
            .min_by_key(|t| self.in_flight(t))
            .map(|t| (*t).clone())
    }

    fn in_flight(&self, target: &name::Target) -> usize {
        let desk = self.desks.get(target);
        desk.map_or(0, |desk| desk.running.len() + desk.queue.len())
    }

    fn pass_on(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let contract = self.ledger.contracts().get(target);
        let holder = contract
            .filter(|c| c.released.is_none())
            .map(|c| c.holder.clone());
        let mine = holder.as_ref() == Some(&self.config.process);
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        if held.arrival.forwarded {
            if !mine {
                self.refuse(ticket, Refusal::NotMine, None, actions);
            }
            return;
        }
        let Some(holder) = holder.filter(|holder| !mine && self.hears(holder, now)) else {
            return;
        };
        if let Some(to) = self.peer(&holder)
            && let Some(held) = self.tickets.get_mut(&ticket)
        {
            held.phase = Phase::Forwarded(holder);
            let deadline = held.arrival.deadline;
            actions.push(Action::Forward {
                ticket,
                to,
                deadline,
            });
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let head = self.tickets[&ticket].arrival.head.clone();
        if self.ledger.quarantine().contains_key(&head.fingerprint) {
            return self.refuse(ticket, Refusal::Barred, None, actions);
        }
        if !head.idempotent && self.is_repeated(ticket, head.request, actions) {
            return;
        }
        if self.is_moving(target, &head.service, head.key) {
            return;
        }
        let Some(row) = self.ledger.table().services.get(&head.service) else {
            return;
        };
        let limit = row.queue as usize;
        let Some(desk) = self.desks.get_mut(target) else {
            return;
        };
        if desk.queue.len() >= limit {
            return self.refuse(ticket, Refusal::Full, Some(RETRY_AFTER), actions);
        }
        desk.queue.push_back(ticket);
        if let Some(held) = self.tickets.get_mut(&ticket) {
            held.phase = Phase::Queued(target.clone());
        }
        self.running.insert(head.request, ticket);
        self.start_queued(now, target, actions);
    }

    /// Answers a repeated non-idempotent request, if it is one.
    fn is_repeated(
        &mut self,
        ticket: Ticket,
        request: request::Id,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self
            .running
            .get(&request)
            .is_some_and(|first| *first != ticket);
        let ended = self.ended.get(&request).copied();
        let intent = self.ledger.intent(&request);
        match (intent.map(|intent| intent.status.or(ended)), running) {
            (Some(Some(status)), _) => {
                self.close(ticket);
                actions.push(Action::Recall {
                    ticket,
                    request,
                    status,
                });
            }
            (_, true) => self.refuse(ticket, Refusal::Running, Some(RETRY_AFTER), actions),
            (Some(None), false) => self.refuse(ticket, Refusal::Duplicate, None, actions),
            (None, false) => return false,
        }
        true
    }

    fn is_moving(
        &self,
        target: &name::Target,
        service: &name::Service,
        key: Option<Digest>,
    ) -> bool {
        let handover = self
            .desks
            .get(target)
            .and_then(|desk| desk.handover.as_ref());
        let row = self.ledger.table().services.get(service);
        let (Some(handover), Some(row)) = (handover, row) else {
            return false;
        };
        !row.divided_by_key || key.is_some_and(|key| handover.has(key, row.slices))
    }

    pub(crate) fn start_queued(
        &mut self,
        now: Instant,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let Some((_, row, place)) = self.ledger.table().target(target) else {
            return;
        };
        let (slots, checks) = (row.slots as usize, place.checks_epoch);
        while let Some(desk) = self.desks.get_mut(target) {
            let ready = desk.accepted || !checks;
            if !ready || desk.running.len() >= slots {
                return;
            }
            let Some(ticket) = desk.queue.pop_front() else {
                return;
            };
            let Some(held) = self.tickets.get(&ticket) else {
                continue;
            };
            desk.running.insert(ticket, held.arrival.deadline);
            if held.arrival.head.idempotent {
                self.start(now, ticket, target, actions);
            } else {
                self.register(ticket, target, actions);
            }
        }
    }

    /// Writes the intent of a non-idempotent request before it is sent.
    fn register(&mut self, ticket: Ticket, target: &name::Target, actions: &mut Vec<Action>) {
        let id = self.next_entry();
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Registering(target.clone(), id);
        let record = Record::Intent {
            target: target.clone(),
            epoch: self.desks[target].epoch,
            requests: vec![held.arrival.head.request],
        };
        self.append_as(id, "request may run once", record, actions);
    }

    pub(crate) fn registered(
        &mut self,
        now: Instant,
        id: record::Id,
        request: request::Id,
        offset: Offset,
        actions: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.running.get(&request).copied() else {
            return;
        };
        let phase = self.tickets.get(&ticket).map(|held| held.phase.clone());
        let Some(Phase::Registering(target, _)) =
            phase.filter(|phase| matches!(phase, Phase::Registering(_, entry) if *entry == id))
        else {
            return;
        };
        let intent = self.ledger.intent(&request);
        if intent.is_some_and(|intent| intent.offset == offset) {
            self.start(now, ticket, &target, actions);
        } else {
            self.stop_running(now, ticket, &target, actions);
            if let Some(held) = self.tickets.get_mut(&ticket) {
                held.phase = Phase::Waiting;
            }
        }
    }

    fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let times = &self.config.times;
        let epoch = self.ownership.epoch(target, now, times);
        let until = self.ownership.lease_end(target, times);
        let row = self.ledger.table().target(target);
        let (Some(epoch), Some(until), Some((_, _, row))) = (epoch, until, row) else {
            let lapsed = Finish::Unsent { lapsed: true };
            return self.finish_running(now, ticket, target, lapsed, actions);
        };
        let address = row.address;
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Running(target.clone());
        actions.push(Action::Start(Start {
            ticket,
            target: target.clone(),
            address,
            epoch,
            until,
            deadline: held.arrival.deadline,
        }));
    }

    pub(crate) fn finish(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        let phase = self.tickets.get(&ticket).map(|held| held.phase.clone());
        match phase {
            Some(Phase::Running(target)) => {
                self.finish_running(now, ticket, &target, result, actions);
            }
            Some(Phase::Forwarded(_)) => self.finish_forwarded(now, ticket, result, actions),
            _ => {}
        }
    }

    fn finish_running(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        self.stop_running(now, ticket, target, actions);
        let head = self.tickets[&ticket].arrival.head.clone();
        match result {
            Finish::Answered(status) | Finish::Cut(status) => {
                if let Some(held) = self.close(ticket)
                    && held.arrival.deadline < now
                    && let Some(desk) = self.desks.get_mut(target)
                {
                    desk.late += 1;
                }
                if !head.idempotent {
                    self.ended.insert(head.request, status);
                    let requests = vec![(head.request, status)];
                    self.append("request ended", Record::Outcome { requests }, actions);
                }
            }
            result if result.is_unsent() && head.idempotent => self.wait_again(ticket),
            result if result.is_unsent() => {
                self.refuse(ticket, Refusal::Unreachable, Some(RETRY_AFTER), actions);
            }
            _ if head.idempotent => self.wait_again(ticket),
            _ => self.refuse(ticket, Refusal::Broken, None, actions),
        }
    }

    fn finish_forwarded(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        match result {
            Finish::Answered(_) | Finish::Cut(_) => {
                self.close(ticket);
            }
            Finish::Refused { refusal, offset } if refusal.may_reroute() => {
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.arrival.known = held.arrival.known.max(offset);
                    held.phase = Phase::Waiting;
                }
                if refusal != Refusal::NotMine {
                    return;
                }
                self.route(now, ticket, actions);
            }
            Finish::Refused { refusal, .. } => self.refuse(ticket, refusal, None, actions),
            Finish::LinkBroken | Finish::Broken | Finish::Unsent { .. } => self.wait_again(ticket),
        }
    }

    fn wait_again(&mut self, ticket: Ticket) {
        if let Some(held) = self.tickets.get_mut(&ticket) {
            held.phase = Phase::Waiting;
        }
    }

    fn stop_running(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        if let Some(desk) = self.desks.get_mut(target) {
            desk.running.remove(&ticket);
            self.start_queued(now, target, actions);
        }
    }

    /// Handles a caller that went away: idempotent work is cancelled, other work runs to its end.
    pub(crate) fn leave(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let idempotent = held.arrival.head.idempotent;
        match held.phase.clone() {
            Phase::Running(target) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.stop_running(now, ticket, &target, actions);
                self.close(ticket);
            }
            Phase::Forwarded(_) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.close(ticket);
            }
            Phase::Queued(target) => {
                if let Some(desk) = self.desks.get_mut(&target) {
                    desk.queue.retain(|queued| *queued != ticket);
                }
                self.close(ticket);
            }
            Phase::Waiting => {
                self.close(ticket);
            }
            _ => {}
        }
    }

    /// Refuses requests whose deadline has passed before they were started.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let late = self
            .tickets
            .iter()
            .filter(|(_, held)| held.arrival.deadline <= now);
        let late: Vec<(Ticket, Phase)> = late
            .map(|(ticket, held)| (*ticket, held.phase.clone()))
            .collect();
        for (ticket, phase) in late {
            match phase {
                Phase::Waiting => self.refuse(ticket, Refusal::NoHolder, None, actions),
                Phase::Queued(target) => {
                    if let Some(desk) = self.desks.get_mut(&target) {
                        desk.queue.retain(|queued| *queued != ticket);
                    }
                    self.refuse(ticket, Refusal::Late, Some(RETRY_AFTER), actions);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn refuse(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        retry_after: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        self.close(ticket);
        actions.push(Action::Refuse {
            ticket,
            refusal,
            retry_after,
            offset: self.ledger.offset(),
        });
    }
}
