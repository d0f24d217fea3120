//! Detection of crashed targets after broken connections, and what follows for their requests.

use crate::{
    action::Action,
    event::{Probe, Ticket},
    health::Observation,
    name,
    node::{Node, Phase},
    record::{Entry, Record},
    request::{Fingerprint, Refusal},
    target_state::{self, Disconnect},
    time::{Instant, Span},
};

/// Age of a broken connection from which an answer to a probe counts as sent after the break.
const MIN_DISCONNECT_AGE: Span = Span::from_millis(10);

impl Node {
    /// Suspends a request whose connection broke until a probe shows whether the target crashed.
    ///
    /// Otherwise a request that crashes targets would be retried at a second target before the
    /// first crash is detected.
    pub(crate) fn suspend(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let in_flight = self.in_flight_fingerprints(target);
        self.set_phase(ticket, Phase::Suspended(target.clone()));
        let Some(state) = self.target_states.get_mut(target) else {
            return self.resume_suspended(ticket, actions);
        };
        state.health.observe(now, Observation::Broken);
        let start_id = state.start_id();
        let broken = state.disconnect.get_or_insert_with(|| Disconnect {
            fingerprints: in_flight,
            waiting: Vec::new(),
            start_id,
            at: now,
        });
        broken.waiting.push(ticket);
        state.force_probe();
        self.free_slot(now, ticket, target, None, actions);
    }

    fn in_flight_fingerprints(&self, target: &name::Target) -> Vec<Fingerprint> {
        let state = self.target_states.get(target);
        let running = state.into_iter().flat_map(|state| state.queue.in_flight());
        running
            .filter_map(|id| self.tickets.get(&target_state::ticket(id)))
            .filter(|pending| matches!(pending.phase, Phase::Running(_, _)))
            .map(|pending| pending.arrival.head.fingerprint)
            .collect()
    }

    /// Decides by the result of a probe whether a target crashed when connections to it broke.
    pub(crate) fn resolve_disconnect(
        &mut self,
        now: Instant,
        target: &name::Target,
        answer: Probe,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        // The answer to an earlier probe may be from before the break.
        let Some(broken) = state
            .disconnect
            .take_if(|b| now.since(b.at) >= MIN_DISCONNECT_AGE)
        else {
            return;
        };
        let epoch = state.epoch;
        let crashed = match answer {
            Probe::Answered { start_id, .. } => broken.start_id != Some(start_id),
            Probe::Unreachable => true,
            Probe::Silent => false,
        };
        if crashed {
            let record = Record::Crash {
                target: target.clone(),
                epoch,
                fingerprints: broken.fingerprints.clone(),
            };
            self.quarantine.record_crash(now, &broken.fingerprints);
            self.append("target crashed", record, actions);
        }
        for ticket in broken.waiting {
            self.resume_suspended(ticket, actions);
        }
    }

    /// Counts the crash in a [`Record::Crash`]. The process that wrote the record has counted it
    /// already, and now writes a [`Record::Quarantine`] for each fingerprint that it quarantined
    /// and the log did not.
    pub(crate) fn apply_crash(
        &mut self,
        now: Instant,
        entry: &Entry,
        fingerprints: &[Fingerprint],
        actions: &mut Vec<Action>,
    ) {
        let own = entry.actor == self.config.process.to_string();
        if !own {
            self.quarantine.record_crash(now, fingerprints);
            return;
        }
        let quarantine = &self.quarantine;
        let quarantined = fingerprints.iter().filter(|f| {
            quarantine.status(**f) == crate::quarantine::Status::Quarantined
                && !self.ledger.quarantine().contains_key(f)
        });
        for fingerprint in quarantined.copied().collect::<Vec<_>>() {
            let record = Record::Quarantine {
                fingerprint,
                barred: true,
            };
            self.append("the request crashed two targets", record, actions);
        }
    }

    /// Retries or refuses all suspended requests of a target.
    pub(crate) fn resume_all_suspended(
        &mut self,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let state = self.target_states.get_mut(target);
        let broken = state.and_then(|state| state.disconnect.take());
        for ticket in broken.into_iter().flat_map(|b| b.waiting) {
            self.resume_suspended(ticket, actions);
        }
    }

    /// Retries or refuses a suspended request.
    fn resume_suspended(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(pending) = self.tickets.get(&ticket) else {
            return;
        };
        if !matches!(pending.phase, Phase::Suspended(_)) {
            return;
        }
        let head = pending.arrival.head.clone();
        match head.idempotent && self.take_retry(&head.service) {
            true => self.await_routing(ticket),
            false => self.refuse(ticket, Refusal::Broken, None, actions),
        }
    }
}
