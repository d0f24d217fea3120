//! Moves of shares between targets: stop admission, finish, append, serve elsewhere.

use ragwortrill_core::{
    balance::Move,
    key::Digest,
    name,
    record::Share,
    request::Id,
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    world::{Moving, Place, World},
};

/// Time for which a move waits for a moment without requests for its share.
const QUIET_LIMIT: Span = Span::from_secs(1);

impl World<'_> {
    fn index(&self, name: &name::Target) -> usize {
        let found = self.holders.iter().position(|holder| holder.name == *name);
        found.unwrap_or_default()
    }

    pub(crate) fn begin(&mut self, now: Instant, planned: Move) {
        let slice = match planned.share {
            Share::Key(key) | Share::Merge(key) => Some(key.slice(self.service.slices)),
            Share::Slice(_) => None,
        };
        // A key is not separated while its slice is on its way, nor moved again on its own way.
        if slice.is_some_and(|slice| self.moving.contains_key(&Share::Slice(slice)))
            || (slice.is_some() && self.moving.contains_key(&planned.share))
        {
            return;
        }
        self.planner.record_move(now, planned.share);
        match planned.share {
            Share::Slice(slice) => self.planned.slices[slice.0 as usize] = planned.to.clone(),
            Share::Key(key) => {
                self.planned.keys.insert(key, planned.to.clone());
            }
            Share::Merge(key) => {
                self.planned.keys.remove(&key);
            }
        }
        if !self.moving.contains_key(&planned.share) {
            let from = self.index(&planned.from);
            self.departing.entry(planned.share).or_insert((from, now));
            self.depart_when_quiet(now, from);
        }
    }

    /// Begins the moves away from a target whose shares have no request there, or have waited
    /// for such a moment long enough.
    pub(crate) fn depart_when_quiet(&mut self, now: Instant, from: usize) {
        let mine = self
            .departing
            .iter()
            .filter(|(_, (target, _))| *target == from);
        let mine: Vec<_> = mine.map(|(share, (_, since))| (*share, *since)).collect();
        for (share, since) in mine {
            let forced = now.since(since) >= QUIET_LIMIT || self.holders[from].gone;
            if forced || self.is_quiet(share, from) {
                self.departing.remove(&share);
                self.depart(now, share, from);
            }
        }
    }

    fn is_quiet(&self, share: Share, from: usize) -> bool {
        let (slices, keys) = (self.service.slices, &self.assignment.keys);
        let queued = self.requests.values().any(|request| {
            holds(share, request.draw.digest, slices, keys)
                && request.copies.values().any(|p| *p == Place::Queued(from))
        });
        let mut open = self.holders[from].open.iter();
        !queued && !open.any(|id| holds(share, id.key, slices, keys))
    }

    fn depart(&mut self, now: Instant, share: Share, from: usize) {
        let parked = self.take_waiting(share, from);
        let appended = false;
        self.moving.insert(
            share,
            Moving {
                from,
                appended,
                parked,
            },
        );
        self.append_moves(now, from);
    }

    /// Takes the requests of a share out of a target's queue.
    fn take_waiting(&mut self, share: Share, from: usize) -> Vec<u64> {
        let slices = self.service.slices;
        let keys = &self.assignment.keys;
        let mut parked = Vec::new();
        for (number, request) in &mut self.requests {
            if !holds(share, request.draw.digest, slices, keys) {
                continue;
            }
            let queued = request
                .copies
                .iter()
                .find(|(_, p)| **p == Place::Queued(from));
            let Some(id) = queued.map(|(id, _)| *id) else {
                continue;
            };
            request.copies.remove(&id);
            self.holders[from].queue.cancel(id);
            parked.push(*number);
        }
        parked
    }

    /// Appends the moves away from a target whose running requests have ended.
    pub(crate) fn settle_moves(&mut self, now: Instant, from: usize) {
        if !self.departing.is_empty() {
            self.depart_when_quiet(now, from);
        }
        self.append_moves(now, from);
    }

    fn append_moves(&mut self, now: Instant, from: usize) {
        let slices = self.service.slices;
        let keys = &self.assignment.keys;
        let holder = &self.holders[from];
        let gone = holder.gone;
        let open = |id: &Id, share: Share| holds(share, id.key, slices, keys);
        for (share, moving) in &mut self.moving {
            if moving.from != from || moving.appended {
                continue;
            }
            if gone || !holder.open.iter().any(|id| open(id, *share)) {
                moving.appended = true;
                self.agenda
                    .add(now + self.deployment.append, Event::Moved(*share));
            }
        }
    }

    /// All daemons have read a move: the new owner serves the share.
    pub(crate) fn commit(&mut self, now: Instant, share: Share) {
        let Some(moving) = self.moving.remove(&share) else {
            return;
        };
        self.outcome.moves += 1;
        match share {
            Share::Slice(slice) => {
                let index = slice.0 as usize;
                let to = self.planned.slices[index].clone();
                self.assignment.slices[index] = to;
            }
            Share::Key(key) => {
                if let Some(to) = self.planned.keys.get(&key) {
                    self.assignment.keys.insert(key, to.clone());
                }
            }
            Share::Merge(key) => {
                self.assignment.keys.remove(&key);
            }
        }
        for number in moving.parked {
            self.route(now, number);
        }
    }
}

fn holds(
    share: Share,
    digest: Digest,
    slices: u32,
    apart: &std::collections::BTreeMap<Digest, name::Target>,
) -> bool {
    match share {
        Share::Key(key) | Share::Merge(key) => key == digest,
        Share::Slice(slice) => digest.slice(slices) == slice && !apart.contains_key(&digest),
    }
}
