//! Moves of shares between targets. The old target admits no more requests and finishes the
//! running ones; then the move is appended to the log, and the new target serves the share.

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
    simulation::{CopyState, Moving, Simulation},
};

/// Maximum time for which a move waits until no request for its share runs.
const MAX_QUIET_WAIT: Span = Span::from_secs(1);

impl Simulation<'_> {
    fn index(&self, name: &name::Target) -> usize {
        let found = self.holders.iter().position(|holder| holder.name == *name);
        found.unwrap_or_default()
    }

    pub(crate) fn plan_move(&mut self, now: Instant, planned: Move) {
        let slice = match planned.share {
            Share::Key(key) | Share::Merge(key) => Some(key.slice(self.service.slices)),
            Share::Slice(_) => None,
        };
        // A key is not moved while its slice or the key itself is being moved.
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
            self.pending_moves
                .entry(planned.share)
                .or_insert((from, now));
            self.start_quiet_moves(now, from);
        }
    }

    /// Starts pending moves away from a target: those whose share has no request there, and those
    /// that have waited for the maximum time.
    pub(crate) fn start_quiet_moves(&mut self, now: Instant, from: usize) {
        let mine = self
            .pending_moves
            .iter()
            .filter(|(_, (target, _))| *target == from);
        let mine: Vec<_> = mine.map(|(share, (_, since))| (*share, *since)).collect();
        for (share, since) in mine {
            let forced = now.since(since) >= MAX_QUIET_WAIT || self.holders[from].grant_expired;
            if forced || self.is_quiet(share, from) {
                self.pending_moves.remove(&share);
                self.start_move(now, share, from);
            }
        }
    }

    fn is_quiet(&self, share: Share, from: usize) -> bool {
        let (slices, keys) = (self.service.slices, &self.assignment.keys);
        let queued = self.requests.values().any(|request| {
            covers(share, request.spec.digest, slices, keys)
                && request
                    .copies
                    .values()
                    .any(|p| *p == CopyState::Queued(from))
        });
        let mut open = self.holders[from].open.iter();
        !queued && !open.any(|id| covers(share, id.key, slices, keys))
    }

    fn start_move(&mut self, now: Instant, share: Share, from: usize) {
        let parked = self.dequeue_share(share, from);
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

    /// Removes the requests of a share from a target's queue and returns their numbers.
    fn dequeue_share(&mut self, share: Share, from: usize) -> Vec<u64> {
        let slices = self.service.slices;
        let keys = &self.assignment.keys;
        let mut parked = Vec::new();
        for (number, request) in &mut self.requests {
            if !covers(share, request.spec.digest, slices, keys) {
                continue;
            }
            let queued = request
                .copies
                .iter()
                .find(|(_, p)| **p == CopyState::Queued(from));
            let Some(id) = queued.map(|(id, _)| *id) else {
                continue;
            };
            request.copies.remove(&id);
            self.holders[from].queue.cancel(id);
            parked.push(*number);
        }
        parked
    }

    /// Starts and appends the moves away from a target that its running requests no longer prevent.
    pub(crate) fn advance_moves(&mut self, now: Instant, from: usize) {
        if !self.pending_moves.is_empty() {
            self.start_quiet_moves(now, from);
        }
        self.append_moves(now, from);
    }

    fn append_moves(&mut self, now: Instant, from: usize) {
        let slices = self.service.slices;
        let keys = &self.assignment.keys;
        let holder = &self.holders[from];
        let grant_expired = holder.grant_expired;
        let open = |id: &Id, share: Share| covers(share, id.key, slices, keys);
        for (share, moving) in &mut self.moving {
            if moving.from != from || moving.appended {
                continue;
            }
            if grant_expired || !holder.open.iter().any(|id| open(id, *share)) {
                moving.appended = true;
                self.agenda
                    .add(now + self.deployment.append, Event::Moved(*share));
            }
        }
    }

    /// Completes a move that all daemons have read: the new owner serves the share.
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

fn covers(
    share: Share,
    digest: Digest,
    slices: u32,
    separate_keys: &std::collections::BTreeMap<Digest, name::Target>,
) -> bool {
    match share {
        Share::Key(key) | Share::Merge(key) => key == digest,
        Share::Slice(slice) => {
            digest.slice(slices) == slice && !separate_keys.contains_key(&digest)
        }
    }
}
