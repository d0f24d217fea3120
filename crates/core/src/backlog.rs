//! Waiting requests of one class (idempotent or not), served round-robin by caller.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    admission::{Caller, Request},
    request,
    time::Instant,
};

/// A waiting request and its time of arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: Request,
    pub(crate) arrived: Instant,
}

/// One FIFO queue per caller, and the round-robin order of the callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    callers: BTreeMap<Caller, VecDeque<Waiting>>,
    rotation: VecDeque<Caller>,
    len: usize,
}

impl Backlog {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn head(&self) -> Option<&Waiting> {
        self.callers.get(self.rotation.front()?)?.front()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let caller = waiting.request.caller;
        let queue = self.callers.entry(caller).or_default();
        if queue.is_empty() {
            self.rotation.push_back(caller);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let caller = self.rotation.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    /// Returns how many waiting requests would be served before a new one of this caller.
    pub(crate) fn ahead(&self, caller: Caller) -> usize {
        let own = self.callers.get(&caller).map_or(0, VecDeque::len);
        let before = |(name, queue): (&Caller, &VecDeque<Waiting>)| match *name == caller {
            true => own,
            false => queue.len().min(own + 1),
        };
        self.callers.iter().map(before).sum()
    }

    pub(crate) fn remove(&mut self, id: request::Id) -> bool {
        !self
            .extract_if(|waiting| waiting.request.id == id)
            .is_empty()
    }

    /// Removes and returns the requests that match `predicate`.
    pub(crate) fn extract_if(&mut self, predicate: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for queue in self.callers.values_mut() {
            if queue.iter().any(&predicate) {
                removed.extend(queue.iter().filter(|waiting| predicate(waiting)));
                queue.retain(|waiting| !predicate(waiting));
            }
        }
        if !removed.is_empty() {
            self.callers.retain(|_, queue| !queue.is_empty());
            let callers = &self.callers;
            self.rotation.retain(|caller| callers.contains_key(caller));
            self.len -= removed.len();
        }
        removed
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.callers.values().flatten()
    }
}
