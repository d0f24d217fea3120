//! Holders: dispatch to targets, answers and hedges.

use ragwortrill_core::{
    admission::Decision,
    choice::Candidate,
    health::Observation,
    request::Id,
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    routing::request_number,
    simulation::{CopyState, Simulation},
};
use crate::virtual_target::Reply;

/// Time for which a download continues to stream after its slot is free.
const DOWNLOAD_TIME: Span = Span::from_millis(200);
/// Time for which a target is down after a request has crashed it.
const CRASH_DOWNTIME: Span = Span::from_secs(3);
/// Time after which operators expect a removed target to get no new requests. Later ones count as
/// violations.
const REMOVAL_GRACE: Span = Span::from_secs(5);
/// Time between the end of a freeze and the end of work that was due during it.
const RESUME_DELAY: Span = Span::from_millis(1);

impl Simulation<'_> {
    pub(crate) fn send(&mut self, now: Instant, id: Id, target: usize) {
        let number = request_number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let work = request.spec.service_times[usize::from(request.attempts > 1)];
        let holder = &mut self.holders[target];
        if holder
            .out_since
            .is_some_and(|since| now.since(since) > REMOVAL_GRACE)
        {
            self.outcome.sent_after_removal += 1;
        }
        let mut delay = Span(self.deployment.within.0 * 2);
        if holder.open.len() >= holder.open_connections {
            holder.open_connections += 1;
            delay = delay + self.deployment.connect;
        }
        let reply = holder.target.offer(now, id, work);
        match reply {
            Reply::Runs(end) => {
                holder.open.insert(id);
                self.record_run(number);
                self.set_copy_state(id, CopyState::Running(target, now));
                self.agenda.add(end + delay, Event::Done(id, target));
            }
            Reply::Waits => {
                holder.open.insert(id);
                self.set_copy_state(id, CopyState::Running(target, now));
            }
            Reply::Shed => self.fail(now, id, target, Observation::Shed),
            Reply::Unreachable => self.fail(now, id, target, Observation::Unreachable),
        }
    }

    fn record_run(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.runs += 1;
            if request.runs > 1 && !request.spec.idempotent {
                self.outcome.double_runs += 1;
            }
        }
    }

    /// Records an observation and applies the resulting limit.
    pub(crate) fn observe(&mut self, now: Instant, target: usize, seen: Observation) {
        self.holders[target].health.observe(now, seen);
        self.apply_limit(now, target);
    }

    /// Releases the slot of a copy that ended without an answer.
    pub(crate) fn free_slot(&mut self, now: Instant, id: Id, target: usize) {
        let mut out = Vec::new();
        let holder = &mut self.holders[target];
        holder.open.remove(&id);
        holder.queue.release(now, id, &mut out);
        self.decisions.push((target, out));
        self.advance_moves(now, target);
    }

    /// Carries out the decisions of queues about waiting requests.
    pub(crate) fn apply_decisions(&mut self, now: Instant) {
        while let Some((target, decisions)) = self.decisions.pop() {
            for decision in decisions {
                match decision {
                    Decision::Start(ticket) => self.send(now, ticket.id, target),
                    Decision::Refuse(ticket, refusal, _) => {
                        let number = request_number(ticket.id);
                        self.drop_copy(number, ticket.id);
                        if refusal.may_reroute() {
                            self.route(now, number);
                        } else if !self.has_copies(number) {
                            self.refuse(now, number, refusal);
                        }
                    }
                }
            }
        }
    }

    fn has_copies(&self, number: u64) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|request| !request.copies.is_empty())
    }

    pub(crate) fn complete_work(&mut self, now: Instant, id: Id, target: usize) {
        let holder = &mut self.holders[target];
        if !holder.target.running().contains_key(&id) {
            return;
        }
        if let Some(until) = holder.target.frozen_until(now) {
            self.agenda
                .add(until + RESUME_DELAY, Event::Done(id, target));
            return;
        }
        let number = request_number(id);
        if self
            .requests
            .get(&number)
            .is_some_and(|request| request.poison)
        {
            self.outcome.crashes += 1;
            self.crash(now, target, CRASH_DOWNTIME);
            return;
        }
        let holder = &mut self.holders[target];
        holder.target.finish(id);
        if let Some((next, end)) = holder.target.next(now) {
            self.agenda.add(end, Event::Done(next, target));
            self.record_run(super::routing::request_number(next));
        }
        self.answer(now, id, target);
    }

    fn answer(&mut self, now: Instant, id: Id, target: usize) {
        let number = request_number(id);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let (spec, copy_state) = (request.spec, request.copies.get(&id).copied());
        if let Some(CopyState::Running(_, started)) = copy_state {
            self.observe(now, target, Observation::Answered(now.since(started)));
        }
        let mut out = Vec::new();
        let holder = &mut self.holders[target];
        if spec.download {
            holder.queue.respond(now, id, &mut out);
            self.agenda
                .add(now + DOWNLOAD_TIME, Event::Streamed(id, target));
        } else {
            holder.open.remove(&id);
            holder.queue.finish(now, id, &mut out);
        }
        self.decisions.push((target, out));
        self.advance_moves(now, target);
        self.quarantine.clear_suspect(spec.fingerprint);
        self.complete_request(now, id, target);
    }

    fn complete_request(&mut self, now: Instant, id: Id, target: usize) {
        let number = request_number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies.remove(&id);
        // Each answer carries its target's current number of requests.
        let queue = &self.holders[target].queue;
        if let Some(candidate) = self.views[request.spec.entry].get_mut(target) {
            candidate.in_flight = (queue.running() + queue.waiting()) as u32;
        }
        let arrived_back = now + self.hop_of(number, target);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !request.ended {
            request.ended = true;
            let latency = arrived_back.since(request.arrived);
            let in_time = arrived_back <= request.deadline;
            self.hedge.record(latency);
            self.record_latency(now, latency, in_time);
            self.cancel_copies(now, number);
        }
        self.remove_if_done(number);
    }

    fn hop_of(&self, number: u64, target: usize) -> Span {
        let request = self.requests.get(&number);
        request.map_or(Span::ZERO, |r| self.hop(r.spec.entry, target))
    }

    pub(crate) fn streamed(&mut self, now: Instant, id: Id, target: usize) {
        if self.holders[target].open.contains(&id) {
            let mut out = Vec::new();
            self.holders[target].open.remove(&id);
            self.holders[target].queue.finish(now, id, &mut out);
            self.decisions.push((target, out));
            self.advance_moves(now, target);
        }
    }

    pub(crate) fn send_hedge(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|r| !r.ended) else {
            return;
        };
        let mut running = request.copies.values();
        let Some(CopyState::Running(first, _)) = running.next().copied() else {
            return;
        };
        let entry = request.spec.entry;
        let candidates: &[Candidate] = &self.views[entry];
        let Some(second) = self.choice.pick(candidates, Some(first)) else {
            return;
        };
        if self.hedge.withdraw(&candidates[second]) {
            self.outcome.hedges += 1;
            self.forward(now, number, second);
        }
    }
}
