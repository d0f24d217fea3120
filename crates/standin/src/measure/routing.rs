//! Entries: arrival, choice of a target, refusals.

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
    load::Draw,
    policy::Selection,
    world::{POISON, Place, Request, World},
};

/// Copies of a request are numbered from its number times this.
const COPIES: u64 = 64;

pub(crate) fn number(id: Id) -> u64 {
    id.number / COPIES
}

impl World<'_> {
    pub(crate) fn arrive(&mut self, now: Instant) {
        let gap = self.load.gap(now);
        if self.is_open(now + gap) {
            self.agenda.add(now + gap, Event::Arrive);
        }
        let draw = self.load.draw(now);
        self.enter(now, draw, false);
    }

    pub(crate) fn send_poison(&mut self, now: Instant) {
        let mut draw = self.load.draw(now);
        draw.fingerprint = POISON;
        draw.digest = Digest(0x5eed << 40);
        draw.idempotent = true;
        self.enter(now, draw, true);
    }

    fn enter(&mut self, now: Instant, draw: Draw, poison: bool) {
        self.numbers += 1;
        let number = self.numbers;
        let deadline = now + self.service.deadline;
        let request = Request {
            draw,
            arrived: now,
            deadline,
            poison,
            copies: BTreeMap::new(),
            attempts: 0,
            runs: 0,
            tried: None,
            over: false,
        };
        self.requests.insert(number, request);
        self.outcome.requests += 1;
        let capacity = self.capacity_of_window();
        self.outcome.window(now, capacity).requests += 1;
        self.budget.deposit();
        self.hedge.deposit();
        self.agenda.add(deadline, Event::Deadline(number));
        let may_hedge = self.policy.hedging && !self.service.divided_by_key && draw.idempotent;
        if let Some(delay) = self.hedge.delay().filter(|_| may_hedge && !poison) {
            self.agenda.add(now + delay, Event::Hedge(number));
        }
        self.route(now, number);
    }

    pub(crate) fn route(&mut self, now: Instant, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|request| !request.over) else {
            return;
        };
        let (draw, tried) = (request.draw, request.tried);
        if self.service.divided_by_key {
            let share = self.share(draw.digest);
            let key = Share::Key(draw.digest);
            for part in [key, Share::Merge(draw.digest), share] {
                if let Some(moving) = self.moving.get_mut(&part) {
                    moving.parked.push(number);
                    return;
                }
            }
            if let Some(target) = self.owner(draw.digest) {
                self.forward(now, number, target);
            }
            return;
        }
        match self.pick(&draw, tried) {
            Some(target) => self.forward(now, number, target),
            None => self.refuse(now, number, Refusal::NoTarget),
        }
    }

    pub(crate) fn forward(&mut self, now: Instant, number: u64, target: usize) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = Id {
            key: request.draw.digest,
            number: number * COPIES + request.attempts % COPIES,
        };
        request.attempts += 1;
        request.copies.insert(id, Place::Travelling);
        let entry = request.draw.entry;
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

    fn pick(&mut self, draw: &Draw, except: Option<usize>) -> Option<usize> {
        let count = self.holders.len();
        let usable = |index: &usize| {
            let holder = &self.holders[*index];
            let lost = matches!(holder.health.state(), State::Frozen | State::Lost);
            holder.out_since.is_none() && !lost
        };
        match self.policy.selection {
            Selection::Core => self.choice.pick(&self.views[draw.entry], except),
            Selection::Hashing => {
                let live: Vec<usize> = (0..count)
                    .filter(|i| self.holders[*i].out_since.is_none())
                    .collect();
                live.get(draw.digest.0 as usize % live.len().max(1))
                    .copied()
            }
            Selection::Turns => {
                self.turn += 1;
                (0..count).map(|i| (self.turn + i) % count).find(usable)
            }
            Selection::Random => {
                let start = draw.works[1].0 as usize;
                (0..count).map(|i| (start + i) % count).find(usable)
            }
            Selection::LeastReported => {
                self.turn += 1;
                let indices = (0..count).map(|i| (self.turn + i) % count);
                indices
                    .filter(usable)
                    .min_by_key(|i| self.holders[*i].reported)
            }
        }
    }

    pub(crate) fn deliver(&mut self, now: Instant, id: Id, target: usize) {
        let number = number(id);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.over {
            self.drop_copy(number, id);
            return;
        }
        let draw = request.draw;
        let deadline = request.deadline;
        if !self.is_mine(&draw, target) {
            self.drop_copy(number, id);
            let hop = self.hop(draw.entry, target);
            self.agenda.add(now + hop, Event::Route(number));
            return;
        }
        let status = match self.policy.quarantine {
            true => self.quarantine.status(draw.fingerprint),
            false => Status::Clear,
        };
        if status == Status::Quarantined {
            self.drop_copy(number, id);
            self.refuse(now, number, Refusal::Quarantined);
            return;
        }
        self.count(now, &draw, target);
        if !self.policy.admission {
            self.send(now, id, target);
            return;
        }
        let offered = admission::Request {
            id,
            caller: draw.caller,
            deadline: match self.policy.deadlines {
                true => deadline,
                false => now + Span::from_secs(3_600),
            },
            idempotent: draw.idempotent,
            exclusive: status == Status::Suspect,
        };
        match self.holders[target].queue.offer(now, offered) {
            Admission::Start => self.send(now, id, target),
            Admission::Wait => self.place(id, Place::Queued(target)),
            Admission::Refuse(refusal, _) => {
                self.drop_copy(number, id);
                self.try_elsewhere(now, number, target, refusal);
            }
        }
    }

    fn is_mine(&self, draw: &Draw, target: usize) -> bool {
        if !self.service.divided_by_key {
            let holder = &self.holders[target];
            return holder.out_since.is_none() || self.policy.selection == Selection::Hashing;
        }
        let moving = [Share::Key(draw.digest), self.share(draw.digest)];
        self.owner(draw.digest) == Some(target)
            && !moving.iter().any(|share| self.moving.contains_key(share))
    }

    /// Counts the load of a target by key and slice.
    fn count(&mut self, now: Instant, draw: &Draw, target: usize) {
        self.holders[target].sketch.add(draw.digest, 1);
        if !self.planned.keys.contains_key(&draw.digest) {
            let slice = draw.digest.slice(self.service.slices);
            self.counts[slice.0 as usize] += 1;
        }
        let capacity = self.capacity_of_window();
        let loads = &mut self.outcome.window(now, capacity).loads;
        *loads.entry(target).or_default() += 1;
    }

    /// Where any target serves any key, tries another one within the retry budget.
    fn try_elsewhere(&mut self, now: Instant, number: u64, target: usize, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !request.copies.is_empty() {
            return;
        }
        let first = request.tried.is_none() && request.attempts == 1;
        let again = first && !self.service.divided_by_key && self.policy.deadlines;
        request.tried = Some(target);
        let entry = request.draw.entry;
        if again && self.budget.withdraw() {
            let hop = self.hop(entry, target);
            self.agenda.add(now + hop, Event::Route(number));
        } else {
            self.refuse(now, number, refusal);
        }
    }

    pub(crate) fn refuse(&mut self, _now: Instant, number: u64, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&number).filter(|r| !r.over) else {
            return;
        };
        request.over = true;
        if request.runs > 0 && !request.draw.idempotent {
            self.outcome.false_refusals += 1;
        }
        *self.outcome.refused.entry(refusal).or_default() += 1;
        self.settle(number);
    }

    pub(crate) fn place(&mut self, id: Id, place: Place) {
        if let Some(request) = self.requests.get_mut(&number(id)) {
            request.copies.insert(id, place);
        }
    }

    pub(crate) fn drop_copy(&mut self, number: u64, id: Id) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.copies.remove(&id);
        }
        self.settle(number);
    }

    /// Forgets a request that is over and has no copies left.
    pub(crate) fn settle(&mut self, number: u64) {
        let request = self.requests.get(&number);
        if request.is_some_and(|request| request.over && request.copies.is_empty()) {
            self.requests.remove(&number);
        }
    }
}
