//! Registration of non-idempotent requests in the log: repeated requests, intents, withdrawals.

use crate::{
    action::Action,
    event::{Head, Ticket},
    name,
    node::{Intent, Node, Phase},
    number::Offset,
    record::{Entry, Record},
    request::{self, Refusal},
    time::Instant,
    traffic::MIN_RETRY_AFTER,
};

impl Node {
    /// Answers a non-idempotent request that may not be sent now, and returns whether it did.
    ///
    /// This is a repeated request, one that a previous holder registered, or any while the log does
    /// not answer.
    pub(crate) fn answer_if_unsendable(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        head: &Head,
        actions: &mut Vec<Action>,
    ) -> bool {
        if let Some(intent) = self.tickets[&ticket].intent {
            // The request is registered but not sent. Only under the epoch of its registration may
            // it be sent.
            let current = self.target_states.get(target).map(|state| state.epoch);
            if current == Some(intent.epoch) {
                return false;
            }
            self.refuse(ticket, Refusal::Unreachable, Some(MIN_RETRY_AFTER), actions);
            return true;
        }
        if self.answer_if_repeated(ticket, head.request, actions) {
            return true;
        }
        let lease = self.config.times.lease;
        let down = !self.ownership.lease().is_recent(now, lease);
        if down {
            self.refuse(ticket, Refusal::LogDown, Some(MIN_RETRY_AFTER), actions);
        }
        down
    }

    /// Answers a non-idempotent request whose id was used before, and returns whether it did.
    pub(crate) fn answer_if_repeated(
        &mut self,
        ticket: Ticket,
        request: request::Id,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self
            .running
            .get(&request)
            .is_some_and(|first| *first != ticket);
        let ended = self.pending_outcomes.get(&request).copied();
        let intent = self.ledger.intent(&request);
        match (intent.map(|intent| intent.status.or(ended)), running) {
            (Some(Some(status)), _) => {
                self.close(ticket);
                actions.push(Action::Replay {
                    ticket,
                    request,
                    status,
                });
            }
            (_, true) => self.refuse(ticket, Refusal::Running, Some(MIN_RETRY_AFTER), actions),
            (Some(None), false) => self.refuse(ticket, Refusal::Duplicate, None, actions),
            (None, false) => return false,
        }
        true
    }

    /// Appends the intent of a non-idempotent request to the log, before the request is sent.
    pub(crate) fn register(
        &mut self,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let id = self.next_entry();
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Registering(target.clone(), id);
        let record = Record::Intent {
            target: target.clone(),
            epoch: self.target_states[target].epoch,
            requests: vec![held.arrival.head.request],
        };
        self.append_as(id, "request may run once", record, actions);
    }

    /// Handles the record of an intent: the request is sent if the record took effect.
    pub(crate) fn apply_intent(
        &mut self,
        now: Instant,
        entry: &Entry,
        request: request::Id,
        intent: Intent,
        actions: &mut Vec<Action>,
    ) {
        let known = self.ledger.intent(&request);
        let applied = known.is_some_and(|known| known.offset == intent.offset);
        let ticket = self.running.get(&request).copied();
        let phase = ticket.and_then(|ticket| Some(self.tickets.get(&ticket)?.phase.clone()));
        let waiting = match (ticket, phase) {
            (Some(ticket), Some(Phase::Registering(target, id))) if id == entry.id => {
                Some((ticket, target))
            }
            _ => None,
        };
        let Some((ticket, target)) = waiting else {
            let own = entry.actor == self.config.process.to_string();
            if applied && own {
                self.withdraw(request, intent.offset, actions);
            }
            return;
        };
        if applied {
            if let Some(held) = self.tickets.get_mut(&ticket) {
                held.intent = Some(intent);
            }
            if self.pause_left(now, &target).is_none() {
                return self.start(now, ticket, &target, actions);
            }
            self.await_routing(ticket);
            self.free_slot(now, ticket, &target, None, actions);
            self.route(now, ticket, actions);
        } else {
            self.await_routing(ticket);
            self.free_slot(now, ticket, &target, None, actions);
        }
    }

    /// Withdraws the intent of a request that was not sent and is to run elsewhere than it was registered
    /// for, and returns whether the request has to wait until that is in the log. The holder of its new
    /// target would take it for a repeated request.
    pub(crate) fn withdraw_before_reroute(
        &mut self,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) -> bool {
        let epoch = self.target_states.get(target).map(|state| state.epoch);
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return false;
        };
        let request = held.arrival.head.request;
        let is_registered_here = |intent: &mut Intent| Some(intent.epoch) == epoch;
        if held.sent || held.intent.as_mut().is_some_and(is_registered_here) {
            return false;
        }
        if let Some(intent) = held.intent.take() {
            held.withdrawn = Some(intent.offset);
            self.withdraw(request, intent.offset, actions);
            return true;
        }
        let withdrawn = held.withdrawn;
        let is_pending = |offset| {
            let known = self.ledger.intent(&request);
            known.is_some_and(|known| known.offset == offset)
        };
        withdrawn.is_some_and(is_pending)
    }

    /// Withdraws the intent of a request that was not sent and will not be.
    pub(crate) fn withdraw(
        &mut self,
        request: request::Id,
        offset: Offset,
        actions: &mut Vec<Action>,
    ) {
        let requests = vec![(request, offset)];
        self.append(
            "request was not sent",
            Record::Withdraw { requests },
            actions,
        );
    }
}
