//! Completion of a node's requests: answers, failures, retries, callers that leave, refusals.

use crate::{
    action::Action,
    event::{Finish, Head, Ticket},
    health::Observation,
    name,
    node::{Node, Phase},
    record::Record,
    request::{Refusal, Run},
    retry::Budget,
    target_state::queue_id,
    time::{Instant, Span},
    traffic::MIN_RETRY_AFTER,
};

/// Maximum number of unused retries in a service's budget.
const MAX_SAVED_RETRIES: u32 = 100;

impl Node {
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        let phase = self.tickets.get(&ticket).map(|held| held.phase.clone());
        match phase {
            Some(Phase::Running(target, _)) => {
                self.finish_running(now, ticket, &target, result, actions);
            }
            Some(Phase::Forwarded(_)) => self.finish_forwarded(now, ticket, result, actions),
            _ => {}
        }
    }

    pub(crate) fn finish_running(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let head = held.arrival.head.clone();
        let busy = match held.phase {
            Phase::Running(_, since) => now.since(since),
            _ => Span::ZERO,
        };
        match result {
            Finish::Answered(status) => {
                self.count_late_answer(now, target, ticket);
                self.record_observation(now, target, Observation::Answered(busy), &head, busy);
                self.quarantine.clear_suspect(head.fingerprint);
                self.complete(ticket, status, actions);
                self.free_slot(now, ticket, target, Some(busy), actions);
            }
            Finish::Cut(status) => {
                self.complete(ticket, status, actions);
                self.free_slot(now, ticket, target, None, actions);
            }
            Finish::Unsent { .. } | Finish::Shed => {
                let observation = match result {
                    Finish::Shed => Some(Observation::Shed),
                    Finish::Unsent { lapsed: false } => Some(Observation::Unreachable),
                    _ => None,
                };
                if let Some(observation) = observation {
                    self.record_observation(now, target, observation, &head, Span::ZERO);
                }
                self.await_routing(ticket);
                if !self.take_retry(&head.service) {
                    self.refuse(ticket, Refusal::Unreachable, Some(MIN_RETRY_AFTER), actions);
                }
                self.free_slot(now, ticket, target, None, actions);
            }
            _ => {
                // The request was sent and may have run, so its intent must not be withdrawn.
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.intent = None;
                    held.sent = true;
                }
                self.suspend(now, ticket, target, actions);
            }
        }
    }

    /// Records what a request showed about its target, and the load that it caused there.
    pub(crate) fn record_observation(
        &mut self,
        now: Instant,
        target: &name::Target,
        observation: Observation,
        head: &Head,
        busy: Span,
    ) {
        let row = self.ledger.table().services.get(&head.service);
        let slices = row.map_or(1, |row| row.slices);
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        state.health.observe(now, observation);
        if busy > Span::ZERO {
            let slice = head.key.unwrap_or(head.request.key).slice(slices);
            state.add_load(slice, head.key, busy);
        }
    }

    pub(crate) fn count_late_answer(
        &mut self,
        now: Instant,
        target: &name::Target,
        ticket: Ticket,
    ) {
        let deadline = self.tickets.get(&ticket).map(|held| held.arrival.deadline);
        let late = deadline.is_some_and(|deadline| deadline < now);
        if let Some(state) = self.target_states.get_mut(target).filter(|_| late) {
            state.late_answers += 1;
        }
    }

    /// Completes a request whose answer was passed on to its caller.
    pub(crate) fn complete(&mut self, ticket: Ticket, status: u16, actions: &mut Vec<Action>) {
        let Some(held) = self.close(ticket) else {
            return;
        };
        let head = held.arrival.head;
        if !head.idempotent {
            self.pending_outcomes.insert(head.request, status);
            let requests = vec![(head.request, status)];
            self.append("request ended", Record::Outcome { requests }, actions);
        }
    }

    /// Takes one retry from the budget of a service. Returns false if the budget is used up.
    pub(crate) fn take_retry(&mut self, service: &name::Service) -> bool {
        let budget = self.retries.get_mut(service);
        budget.is_none_or(Budget::withdraw)
    }

    pub(crate) fn count_request(&mut self, service: &name::Service) {
        let Some(row) = self.ledger.table().services.get(service) else {
            return;
        };
        let percent = row.retry_percent;
        let budget = self.retries.entry(service.clone());
        let full = || {
            let mut budget = Budget::new(percent, MAX_SAVED_RETRIES);
            (0..MAX_SAVED_RETRIES).for_each(|_| budget.deposit());
            budget
        };
        budget.or_insert_with(full).deposit();
    }

    pub(crate) fn finish_forwarded(
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
                    held.arrival.min_offset = held.arrival.min_offset.max(offset);
                    held.phase = Phase::Waiting;
                }
                if refusal != Refusal::NotMine {
                    return;
                }
                self.route(now, ticket, actions);
            }
            Finish::Refused { refusal, .. } => self.refuse(ticket, refusal, None, actions),
            result => {
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.sent |= !matches!(result, Finish::Unsent { .. });
                }
                self.await_routing(ticket);
            }
        }
    }

    /// Frees the slot of a request. `busy` is its service time if the answer was complete.
    pub(crate) fn free_slot(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        busy: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        let mut decisions = Vec::new();
        if let Some(state) = self.target_states.get_mut(target) {
            let id = queue_id(ticket);
            match busy {
                Some(_) => state.queue.finish(now, id, &mut decisions),
                None => state.queue.release(now, id, &mut decisions),
            }
        }
        self.apply_decisions(now, target, decisions, actions);
    }

    /// Handles a caller that disconnected. A request that waits to be routed or for a slot is refused,
    /// so that its intent is withdrawn and a daemon that forwarded it does not route it again. A later
    /// one is cancelled if it is idempotent, and otherwise runs to its end.
    pub(crate) fn caller_left(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let idempotent = held.arrival.head.idempotent;
        match held.phase.clone() {
            Phase::Running(target, _) | Phase::Suspended(target) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.close(ticket);
                self.free_slot(now, ticket, &target, None, actions);
            }
            Phase::Forwarded(_) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.close(ticket);
            }
            Phase::Queued(target) => {
                if let Some(state) = self.target_states.get_mut(&target) {
                    state.queue.cancel(queue_id(ticket));
                }
                self.refuse(ticket, Refusal::Late, None, actions);
            }
            Phase::Waiting => self.refuse(ticket, Refusal::Late, None, actions),
            _ => {}
        }
    }

    /// Refuses requests whose deadline passed before they were started.
    pub(crate) fn expire_requests(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let targets: Vec<name::Target> = self.target_states.keys().cloned().collect();
        for target in targets {
            let mut decisions = Vec::new();
            if let Some(state) = self.target_states.get_mut(&target) {
                state.queue.expire(now, &mut decisions);
            }
            self.apply_decisions(now, &target, decisions, actions);
        }
        let late = self.tickets.iter();
        let late = late.filter(|(_, held)| held.arrival.deadline <= now);
        let late: Vec<(Ticket, Phase)> = late
            .map(|(ticket, held)| (*ticket, held.phase.clone()))
            .collect();
        for (ticket, phase) in late {
            match phase {
                Phase::Waiting => self.refuse(ticket, Refusal::NoHolder, None, actions),
                Phase::Registering(target, _) => {
                    self.refuse(ticket, Refusal::LogDown, Some(MIN_RETRY_AFTER), actions);
                    self.free_slot(now, ticket, &target, None, actions);
                }
                Phase::Suspended(_) => self.refuse(ticket, Refusal::Broken, None, actions),
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
        let held = self.close(ticket);
        let may_have_run = held.as_ref().is_some_and(|held| held.sent);
        // An earlier attempt may have run, so the refusal must not state that the request did not.
        let refusal = match refusal.run() {
            Run::NotRun if may_have_run => Refusal::Broken,
            _ => refusal,
        };
        let unsent = held.filter(|held| !matches!(held.phase, Phase::Running(_, _)));
        if let Some(held) = unsent
            && let Some(intent) = held.intent
        {
            self.withdraw(held.arrival.head.request, intent.offset, actions);
        }
        actions.push(Action::Refuse {
            ticket,
            refusal,
            retry_after,
            offset: self.ledger.offset(),
        });
    }
}
