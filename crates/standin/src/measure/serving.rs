//! Holders: sending, answers, failures, hedges and deadlines.

use ragwortrill_core::{
    admission::Decision,
    choice::Candidate,
    health::Observation,
    request::Id,
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    routing::number,
    world::{Place, World},
};
use crate::virtual_target::Reply;

/// Time for which a download streams after the slot is free.
const DOWNLOAD: Span = Span::from_millis(200);
/// Time for which a target is down after a request crashed it.
const CRASH: Span = Span::from_secs(3);
/// Time after which operators consider a target free of new work.
const OUT: Span = Span::from_secs(5);
/// Delay after which work that was frozen ends.
const SMALL: Span = Span::from_millis(1);

impl World<'_> {
    pub(crate) fn send(&mut self, now: Instant, id: Id, target: usize) {
        let number = number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let work = request.draw.works[usize::from(request.attempts > 1)];
        let holder = &mut self.holders[target];
        if holder.out_since.is_some_and(|since| now.since(since) > OUT) {
            self.outcome.work_after_out += 1;
        }
        let mut delay = Span(self.deployment.within.0 * 2);
        if holder.open.len() >= holder.opened {
            holder.opened += 1;
            delay = delay + self.deployment.connect;
        }
        let reply = holder.target.offer(now, id, work);
        match reply {
            Reply::Runs(end) => {
                holder.open.insert(id);
                self.note_run(number);
                self.place(id, Place::Running(target, now));
                self.agenda.add(end + delay, Event::Done(id, target));
            }
            Reply::Waits => {
                holder.open.insert(id);
                self.place(id, Place::Running(target, now));
            }
            Reply::Shed => self.fail(now, id, target, Observation::Shed),
            Reply::Unreachable => self.fail(now, id, target, Observation::Unreachable),
        }
    }

    fn note_run(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.runs += 1;
            if request.runs > 1 && !request.draw.idempotent {
                self.outcome.double_runs += 1;
            }
        }
    }

    /// Notes an observation and applies the limit that follows from it.
    pub(crate) fn observe(&mut self, now: Instant, target: usize, seen: Observation) {
        self.holders[target].health.observe(now, seen);
        self.apply_limit(now, target);
    }

    /// Frees the slot of a copy that ended without an answer.
    pub(crate) fn free(&mut self, now: Instant, id: Id, target: usize) {
        let mut out = Vec::new();
        let holder = &mut self.holders[target];
        holder.open.remove(&id);
        holder.queue.release(now, id, &mut out);
        self.decisions.push((target, out));
        self.settle_moves(now, target);
    }

    /// Carries out what queues decided about waiting requests.
    pub(crate) fn decide(&mut self, now: Instant) {
        while let Some((target, decisions)) = self.decisions.pop() {
            for decision in decisions {
                match decision {
                    Decision::Start(ticket) => self.send(now, ticket.id, target),
                    Decision::Refuse(ticket, refusal, _) => {
                        let number = number(ticket.id);
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

    pub(crate) fn done(&mut self, now: Instant, id: Id, target: usize) {
        let holder = &mut self.holders[target];
        if !holder.target.running().contains_key(&id) {
            return;
        }
        if let Some(until) = holder.target.frozen_until(now) {
            self.agenda.add(until + SMALL, Event::Done(id, target));
            return;
        }
        let number = number(id);
        if self
            .requests
            .get(&number)
            .is_some_and(|request| request.poison)
        {
            self.outcome.crashes += 1;
            self.crash(now, target, CRASH);
            return;
        }
        let holder = &mut self.holders[target];
        holder.target.finish(id);
        if let Some((next, end)) = holder.target.next(now) {
            self.agenda.add(end, Event::Done(next, target));
            self.note_run(super::routing::number(next));
        }
        self.answer(now, id, target);
    }

    fn answer(&mut self, now: Instant, id: Id, target: usize) {
        let number = number(id);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let (draw, place) = (request.draw, request.copies.get(&id).copied());
        if let Some(Place::Running(_, started)) = place {
            self.observe(now, target, Observation::Answered(now.since(started)));
        }
        let mut out = Vec::new();
        let holder = &mut self.holders[target];
        if draw.download {
            holder.queue.respond(now, id, &mut out);
            self.agenda.add(now + DOWNLOAD, Event::Streamed(id, target));
        } else {
            holder.open.remove(&id);
            holder.queue.finish(now, id, &mut out);
        }
        self.decisions.push((target, out));
        self.settle_moves(now, target);
        self.quarantine.clear_suspect(draw.fingerprint);
        self.complete(now, id, target);
    }

    fn complete(&mut self, now: Instant, id: Id, target: usize) {
        let number = number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies.remove(&id);
        // Each answer carries the number of requests at its target.
        let queue = &self.holders[target].queue;
        if let Some(candidate) = self.views[request.draw.entry].get_mut(target) {
            candidate.in_flight = (queue.running() + queue.waiting()) as u32;
        }
        let arrived_back = now + self.hop_of(number, target);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !request.over {
            request.over = true;
            let latency = arrived_back.since(request.arrived);
            let in_time = arrived_back <= request.deadline;
            self.hedge.record(latency);
            self.note_latency(now, latency, in_time);
            self.cancel_copies(now, number);
        }
        self.settle(number);
    }

    fn hop_of(&self, number: u64, target: usize) -> Span {
        let request = self.requests.get(&number);
        request.map_or(Span::ZERO, |r| self.hop(r.draw.entry, target))
    }

    pub(crate) fn streamed(&mut self, now: Instant, id: Id, target: usize) {
        if self.holders[target].open.contains(&id) {
            let mut out = Vec::new();
            self.holders[target].open.remove(&id);
            self.holders[target].queue.finish(now, id, &mut out);
            self.decisions.push((target, out));
            self.settle_moves(now, target);
        }
    }

    pub(crate) fn send_hedge(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|r| !r.over) else {
            return;
        };
        let mut running = request.copies.values();
        let Some(Place::Running(first, _)) = running.next().copied() else {
            return;
        };
        let entry = request.draw.entry;
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
