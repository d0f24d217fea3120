//! Entries: arrival of requests, choice of a target, delivery and refusals.

use std::collections::BTreeMap;

use ragwortrill_core::{
    admission::{self, Admission},
    health::State,
    key::Digest,
    quarantine::Status,
    record::Share,
    request::{Id, Refusal},
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    load::Spec,
    policy::Selection,
    simulation::{CopyState, POISON_FINGERPRINT, Request, Simulation},
};

/// Number of copy numbers per request. A copy's number is the request's number times this, plus
/// the number of the attempt modulo this.
const NUMBERS_PER_REQUEST: u64 = 64;

pub(crate) fn request_number(id: Id) -> u64 {
    id.number / NUMBERS_PER_REQUEST
}

impl Simulation<'_> {
    pub(crate) fn arrive(&mut self, now: Instant) {
        let gap = self.load.interarrival_time(now);
        if self.is_open(now + gap) {
            self.agenda.add(now + gap, Event::Arrive);
        }
        let spec = self.load.next_request(now);
        self.enter(now, spec, false);
    }

    pub(crate) fn send_poison(&mut self, now: Instant) {
        let mut spec = self.load.next_request(now);
        spec.fingerprint = POISON_FINGERPRINT;
        spec.digest = Digest(0x5eed << 40);
        spec.idempotent = true;
        self.enter(now, spec, true);
    }

    fn enter(&mut self, now: Instant, spec: Spec, poison: bool) {
        self.last_number += 1;
        let number = self.last_number;
        let deadline = now + self.service.deadline;
        let request = Request {
            spec,
            arrived: now,
            deadline,
            poison,
            copies: BTreeMap::new(),
            attempts: 0,
            runs: 0,
            last_target: None,
            ended: false,
        };
        self.requests.insert(number, request);
        self.outcome.requests += 1;
        let capacity = self.capacity_of_window();
        self.outcome.window(now, capacity).requests += 1;
        self.budget.deposit();
        self.hedge.deposit();
        self.agenda.add(deadline, Event::Deadline(number));
        let may_hedge = self.policy.hedging && !self.service.divided_by_key && spec.idempotent;
        if let Some(delay) = self.hedge.delay().filter(|_| may_hedge && !poison) {
            self.agenda.add(now + delay, Event::Hedge(number));
        }
        self.route(now, number);
    }

    pub(crate) fn route(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|request| !request.ended) else {
            return;
        };
        let (spec, last_target) = (request.spec, request.last_target);
        if self.service.divided_by_key {
            let share = self.share(spec.digest);
            let key = Share::Key(spec.digest);
            for part in [key, Share::Merge(spec.digest), share] {
                if let Some(moving) = self.moving.get_mut(&part) {
                    moving.parked.push(number);
                    return;
                }
            }
            if let Some(target) = self.owner(spec.digest) {
                self.forward(now, number, target);
            }
            return;
        }
        match self.pick(&spec, last_target) {
            Some(target) => self.forward(now, number, target),
            None => self.refuse(now, number, Refusal::NoTarget),
        }
    }

    pub(crate) fn forward(&mut self, now: Instant, number: u64, target: usize) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = Id {
            key: request.spec.digest,
            number: number * NUMBERS_PER_REQUEST + request.attempts % NUMBERS_PER_REQUEST,
        };
        request.attempts += 1;
        request.copies.insert(id, CopyState::InTransit);
        let entry = request.spec.entry;
        if let Some(candidate) = self.views[entry].get_mut(target) {
            candidate.in_flight += 1;
        }
        let hop = self.hop(entry, target);
        self.agenda.add(now + hop, Event::Deliver(id, target));
    }

    pub(crate) fn share(&self, digest: Digest) -> Share {
        match self.assignment.keys.contains_key(&digest) {
            true => Share::Key(digest),
            false => Share::Slice(digest.slice(self.service.slices)),
        }
    }

    pub(crate) fn owner(&self, digest: Digest) -> Option<usize> {
        let name = self.assignment.owner(digest)?;
        self.holders.iter().position(|holder| holder.name == *name)
    }

    fn pick(&mut self, spec: &Spec, except: Option<usize>) -> Option<usize> {
        let count = self.holders.len();
        let usable = |index: &usize| {
            let holder = &self.holders[*index];
            let lost = matches!(holder.health.state(), State::Frozen | State::Lost);
            holder.out_since.is_none() && !lost
        };
        match self.policy.selection {
            Selection::Core => self.choice.pick(&self.views[spec.entry], except),
            Selection::Hashing => {
                let live: Vec<usize> = (0..count)
                    .filter(|i| self.holders[*i].out_since.is_none())
                    .collect();
                live.get(spec.digest.0 as usize % live.len().max(1))
                    .copied()
            }
            Selection::RoundRobin => {
                self.round_robin_position += 1;
                (0..count)
                    .map(|i| (self.round_robin_position + i) % count)
                    .find(usable)
            }
            Selection::Random => {
                let start = spec.service_times[1].0 as usize;
                (0..count).map(|i| (start + i) % count).find(usable)
            }
            Selection::LeastReported => {
                self.round_robin_position += 1;
                let indices = (0..count).map(|i| (self.round_robin_position + i) % count);
                indices
                    .filter(usable)
                    .min_by_key(|i| self.holders[*i].reported_load_percent)
            }
        }
    }

    pub(crate) fn deliver(&mut self, now: Instant, id: Id, target: usize) {
        let number = request_number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.ended {
            self.drop_copy(number, id);
            return;
        }
        let spec = request.spec;
        let deadline = request.deadline;
        if !self.is_mine(&spec, target) {
            self.drop_copy(number, id);
            let hop = self.hop(spec.entry, target);
            self.agenda.add(now + hop, Event::Route(number));
            return;
        }
        let status = match self.policy.quarantine {
            true => self.quarantine.status(spec.fingerprint),
            false => Status::Clear,
        };
        if status == Status::Quarantined {
            self.drop_copy(number, id);
            self.refuse(now, number, Refusal::Quarantined);
            return;
        }
        self.count(now, &spec, target);
        if !self.policy.admission {
            self.send(now, id, target);
            return;
        }
        let offered = admission::Request {
            id,
            caller: spec.caller,
            deadline: match self.policy.deadlines {
                true => deadline,
                false => now + Span::from_secs(3_600),
            },
            idempotent: spec.idempotent,
            exclusive: status == Status::Suspect,
        };
        match self.holders[target].queue.offer(now, offered) {
            Admission::Start => self.send(now, id, target),
            Admission::Wait => self.set_copy_state(id, CopyState::Queued(target)),
            Admission::Refuse(refusal, _) => {
                self.drop_copy(number, id);
                self.try_elsewhere(now, number, target, refusal);
            }
        }
    }

    fn is_mine(&self, spec: &Spec, target: usize) -> bool {
        if !self.service.divided_by_key {
            let holder = &self.holders[target];
            return holder.out_since.is_none() || self.policy.selection == Selection::Hashing;
        }
        let moving = [Share::Key(spec.digest), self.share(spec.digest)];
        self.owner(spec.digest) == Some(target)
            && !moving.iter().any(|share| self.moving.contains_key(share))
    }

    /// Counts the load of a target by key and slice.
    fn count(&mut self, now: Instant, spec: &Spec, target: usize) {
        self.holders[target].sketch.add(spec.digest, 1);
        if !self.planned.keys.contains_key(&spec.digest) {
            let slice = spec.digest.slice(self.service.slices);
            self.slice_counts[slice.0 as usize] += 1;
        }
        let capacity = self.capacity_of_window();
        let loads = &mut self.outcome.window(now, capacity).loads;
        *loads.entry(target).or_default() += 1;
    }

    /// Routes a refused request to another target if any target serves its key and the retry budget
    /// allows it. Refuses it otherwise.
    fn try_elsewhere(&mut self, now: Instant, number: u64, target: usize, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !request.copies.is_empty() {
            return;
        }
        let first = request.last_target.is_none() && request.attempts == 1;
        let again = first && !self.service.divided_by_key && self.policy.deadlines;
        request.last_target = Some(target);
        let entry = request.spec.entry;
        if again && self.budget.withdraw() {
            let hop = self.hop(entry, target);
            self.agenda.add(now + hop, Event::Route(number));
        } else {
            self.refuse(now, number, refusal);
        }
    }

    pub(crate) fn refuse(&mut self, _now: Instant, number: u64, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number).filter(|r| !r.ended) else {
            return;
        };
        request.ended = true;
        if request.runs > 0 && !request.spec.idempotent {
            self.outcome.false_refusals += 1;
        }
        *self.outcome.refused.entry(refusal).or_default() += 1;
        self.remove_if_done(number);
    }

    pub(crate) fn set_copy_state(&mut self, id: Id, copy_state: CopyState) {
        if let Some(request) = self.requests.get_mut(&request_number(id)) {
            request.copies.insert(id, copy_state);
        }
    }

    pub(crate) fn drop_copy(&mut self, number: u64, id: Id) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.copies.remove(&id);
        }
        self.remove_if_done(number);
    }

    /// Removes a request that has ended and has no copies left.
    pub(crate) fn remove_if_done(&mut self, number: u64) {
        let request = self.requests.get(&number);
        if request.is_some_and(|request| request.ended && request.copies.is_empty()) {
            self.requests.remove(&number);
        }
    }
}
