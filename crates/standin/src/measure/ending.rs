//! Ends of requests other than an answer: failures, deadlines, crashes.

use ragwortrill_core::{
    health::Observation,
    request::{Id, Refusal},
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    routing::number,
    world::{POISON, Place, World},
};

/// Time after which an unreachable target is tried again.
const RETRY_DELAY: Span = Span::from_millis(50);

impl World<'_> {
    /// Handles a request that a target did not take; it did not run.
    pub(crate) fn fail(&mut self, now: Instant, id: Id, target: usize, seen: Observation) {
        self.observe(now, target, seen);
        self.free(now, id, target);
        let number = number(id);
        self.drop_copy(number, id);
        self.retry(now, number, target, Refusal::Unreachable);
    }

    pub(crate) fn retry(&mut self, now: Instant, number: u64, target: usize, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number).filter(|r| !r.over) else {
            return;
        };
        if !request.copies.is_empty() {
            return;
        }
        request.tried = Some(target);
        let in_time = now + RETRY_DELAY < request.deadline;
        if in_time && self.budget.withdraw() {
            self.agenda.add(now + RETRY_DELAY, Event::Route(number));
        } else {
            self.refuse(now, number, refusal);
        }
    }

    pub(crate) fn note_latency(&mut self, now: Instant, latency: Span, in_time: bool) {
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

    /// Cancels the other copies of a request that is over.
    pub(crate) fn cancel_copies(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        for (id, place) in std::mem::take(&mut request.copies) {
            match place {
                Place::Travelling => {}
                Place::Queued(target) => {
                    self.holders[target].queue.cancel(id);
                }
                Place::Running(target, _) => {
                    self.holders[target].target.finish(id);
                    self.free(now, id, target);
                }
            }
        }
    }

    pub(crate) fn pass_deadline(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|r| !r.over) else {
            return;
        };
        let ends = request.copies.iter().filter_map(|(id, place)| match place {
            Place::Running(target, _) => {
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
        let cancels = request.draw.idempotent && self.policy.deadlines;
        if let Some(request) = self.requests.get_mut(&number) {
            request.over = true;
        }
        self.note_latency(now, latency, false);
        if cancels {
            self.cancel_copies(now, number);
        }
        self.settle(number);
    }

    /// A target stops with all that runs on it.
    pub(crate) fn crash(&mut self, now: Instant, target: usize, down: Span) {
        let holder = &mut self.holders[target];
        holder.opened = 0;
        let broken = holder.target.restart(now, down);
        let prints = broken
            .iter()
            .filter_map(|id| self.requests.get(&number(*id)));
        let prints: Vec<_> = prints.map(|request| request.draw.fingerprint).collect();
        if self.policy.quarantine {
            let barred = self.quarantine.record_crash(now, &prints);
            let innocents = barred.iter().filter(|print| **print != POISON);
            self.outcome.innocents_barred += innocents.count() as u64;
        }
        self.observe(now, target, Observation::Broken);
        self.break_copies(now, target, broken);
    }

    /// Handles copies whose connection broke after they were sent.
    pub(crate) fn break_copies(&mut self, now: Instant, target: usize, broken: Vec<Id>) {
        for id in broken {
            self.free(now, id, target);
            let number = number(id);
            self.drop_copy(number, id);
            let Some(request) = self.requests.get_mut(&number).filter(|r| !r.over) else {
                continue;
            };
            if request.draw.idempotent || self.policy.retries_all {
                self.retry(now, number, target, Refusal::Unreachable);
            } else if self.policy.refuses_broken {
                self.refuse(now, number, Refusal::Unreachable);
            } else {
                request.over = true;
                self.outcome.unknown += 1;
                self.settle(number);
            }
        }
    }
}
