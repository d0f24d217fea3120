//! Requests that end without an answer: failures, deadlines and crashes.

use ragwortrill_core::{
    health::Observation,
    request::{Id, Refusal},
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    routing::request_number,
    simulation::{CopyState, POISON_FINGERPRINT, Simulation},
};

/// Delay before a request that failed is routed again.
const RETRY_DELAY: Span = Span::from_millis(50);

impl Simulation<'_> {
    /// Handles a copy that a target refused and therefore did not run.
    pub(crate) fn fail(&mut self, now: Instant, id: Id, target: usize, seen: Observation) {
        self.observe(now, target, seen);
        self.free_slot(now, id, target);
        let number = request_number(id);
        self.drop_copy(number, id);
        self.retry(now, number, target, Refusal::Unreachable);
    }

    pub(crate) fn retry(&mut self, now: Instant, number: u64, target: usize, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number).filter(|r| !r.ended) else {
            return;
        };
        if !request.copies.is_empty() {
            return;
        }
        request.last_target = Some(target);
        let in_time = now + RETRY_DELAY < request.deadline;
        if in_time && self.budget.withdraw() {
            self.agenda.add(now + RETRY_DELAY, Event::Route(number));
        } else {
            self.refuse(now, number, refusal);
        }
    }

    pub(crate) fn record_latency(&mut self, now: Instant, latency: Span, in_time: bool) {
        let seen = latency + self.deployment.client + self.deployment.client;
        let capacity = self.capacity_of_window();
        let outcome = &mut self.outcome;
        outcome.latency.saturating_record(seen.0);
        outcome.in_time += u64::from(in_time);
        outcome.late += u64::from(!in_time);
        let window = outcome.window(now, capacity);
        window.latency.saturating_record(seen.0);
        window.in_time += u64::from(in_time);
    }

    /// Cancels the remaining copies of a request that has ended.
    pub(crate) fn cancel_copies(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        for (id, copy_state) in std::mem::take(&mut request.copies) {
            match copy_state {
                CopyState::InTransit => {}
                CopyState::Queued(target) => {
                    self.holders[target].queue.cancel(id);
                }
                CopyState::Running(target, _) => {
                    self.holders[target].target.finish(id);
                    self.free_slot(now, id, target);
                }
            }
        }
    }

    pub(crate) fn pass_deadline(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|r| !r.ended) else {
            return;
        };
        let ends = request
            .copies
            .iter()
            .filter_map(|(id, copy_state)| match copy_state {
                CopyState::Running(target, _) => {
                    let running = self.holders[*target].target.running();
                    Some(running.get(id).copied().unwrap_or(now))
                }
                _ => None,
            });
        let Some(end) = ends.min() else {
            self.cancel_copies(now, number);
            self.refuse(now, number, Refusal::Late);
            return;
        };
        let latency = end.max(now).since(request.arrived);
        let cancels = request.spec.idempotent && self.policy.deadlines;
        if let Some(request) = self.requests.get_mut(&number) {
            request.ended = true;
        }
        self.record_latency(now, latency, false);
        if cancels {
            self.cancel_copies(now, number);
        }
        self.remove_if_done(number);
    }

    /// Crashes a target and breaks the copies that run on it.
    pub(crate) fn crash(&mut self, now: Instant, target: usize, down: Span) {
        let holder = &mut self.holders[target];
        holder.open_connections = 0;
        let broken = holder.target.restart(now, down);
        let prints = broken
            .iter()
            .filter_map(|id| self.requests.get(&request_number(*id)));
        let prints: Vec<_> = prints.map(|request| request.spec.fingerprint).collect();
        if self.policy.quarantine {
            let quarantined = self.quarantine.record_crash(now, &prints);
            let innocents = quarantined
                .iter()
                .filter(|print| **print != POISON_FINGERPRINT);
            self.outcome.wrongly_quarantined += innocents.count() as u64;
        }
        self.observe(now, target, Observation::Broken);
        self.break_copies(now, target, broken);
    }

    /// Handles copies whose connection broke after they had been sent.
    pub(crate) fn break_copies(&mut self, now: Instant, target: usize, broken: Vec<Id>) {
        for id in broken {
            self.free_slot(now, id, target);
            let number = request_number(id);
            self.drop_copy(number, id);
            let Some(request) = self.requests.get_mut(&number).filter(|r| !r.ended) else {
                continue;
            };
            if request.spec.idempotent || self.policy.retries_all {
                self.retry(now, number, target, Refusal::Unreachable);
            } else if self.policy.refuses_broken {
                self.refuse(now, number, Refusal::Unreachable);
            } else {
                request.ended = true;
                self.outcome.unknown += 1;
                self.remove_if_done(number);
            }
        }
    }
}
