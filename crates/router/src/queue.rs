//! Queue of requests that wait for a target while the load exceeds the targets' capacity.
//!
//! Requests that can still be answered within their objective go first, in order of priority and
//! then the newest first: under overload, serving the oldest first would answer all of them just
//! too late. Requests that are already late get the remaining capacity. The number of waiting
//! requests is limited to what can be served within the objective. Beyond that, the request that
//! would be served last is refused at once, so that its caller can retry elsewhere.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::{registration::Incarnation, share::Share};

/// Requests of all hosts that may wait for an owner regardless of its recent throughput, as a
/// multiple of its slots.
const MIN_WAITING_PER_SLOT: u32 = 3;
/// Minimum number of requests that may wait for one resource.
const MIN_WAITING: u32 = 3;

/// Resource that a request waits for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Capacity at any target of a service.
    Any(name::Service),
    /// Capacity at the owner of the request's key.
    Owner(Incarnation),
    /// An owner for a key that has none at the moment.
    Unowned(name::Service),
}

/// Identifier of a waiting request; a later request has a higher one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Resource that the request waits for.
    pub resource: Resource,
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Latest time at which a target can start it so that its objective is met.
    pub start_by: Instant,
}

/// Waiting requests of a host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    next: u64,
    waiting: BTreeMap<Ticket, Request>,
}

impl Queue {
    /// Adds a request to the queue.
    pub fn push(&mut self, waiting: Request) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Removes a request. Returns false if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Changes the resource that a request waits for.
    pub fn set_resource(&mut self, ticket: Ticket, resource: Resource) {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.resource = resource;
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that wait for a resource.
    pub fn waiting_for(&self, resource: &Resource) -> usize {
        let all = self.waiting.values();
        all.filter(|waiting| &waiting.resource == resource).count()
    }

    /// Tells whether no requests wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns all waiting requests, in the order in which they are to be served.
    pub fn order(&self, now: Instant) -> Vec<Ticket> {
        let mut tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        tickets.sort_by_key(|ticket| self.rank(now, *ticket));
        tickets
    }

    /// Returns the request to refuse if more than `limit` wait for a resource: the one that would
    /// be served last.
    pub fn overflow(&self, now: Instant, resource: &Resource, limit: u32) -> Option<Ticket> {
        let same = self
            .waiting
            .iter()
            .filter(|(_, waiting)| &waiting.resource == resource);
        let tickets: BTreeSet<Ticket> = same.map(|(ticket, _)| *ticket).collect();
        if tickets.len() <= limit as usize {
            return None;
        }
        tickets
            .into_iter()
            .max_by_key(|ticket| self.rank(now, *ticket))
    }

    fn rank(&self, now: Instant, ticket: Ticket) -> (bool, u32, Reverse<Ticket>) {
        let waiting = self.waiting.get(&ticket);
        let is_late = waiting.is_none_or(|waiting| waiting.start_by < now);
        let priority = waiting.map_or(u32::MAX, |waiting| waiting.priority);
        (is_late, priority, Reverse(ticket))
    }
}

/// Returns how many requests may wait for a target: as many as `concurrency` requests at a time can
/// serve within `max_wait`.
pub fn capacity(concurrency: u32, response_time: Span, max_wait: Span) -> u32 {
    let rounds = max_wait.0 / response_time.0.max(1);
    (u64::from(concurrency) * rounds).clamp(u64::from(MIN_WAITING), 10_000) as u32
}

/// A host's quota of requests that may wait for the owner of their keys.
///
/// If many hosts share a busy owner, each host gets only a part of its capacity. If a host let as
/// many requests wait as the whole capacity can serve, they would be refused when their time is
/// over.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Requests of this host that the owner answers per second.
    pub per_second: f64,
    /// Requests that the owner runs concurrently.
    pub slots: u32,
    /// This host's share of the owner.
    pub share: Share,
}

impl Quota {
    /// Returns how many requests may wait: as many as the owner answers to this host within
    /// `max_wait`, or at least this host's share of a few times its slots. With many hosts, that
    /// share rounds down to zero: a request that arrives when the owner has capacity is served
    /// sooner than one that waited.
    pub fn limit(self, max_wait: Span) -> u32 {
        let answered = self.per_second * max_wait.as_secs_f64();
        let minimum = self.share.of(f64::from(self.slots * MIN_WAITING_PER_SLOT));
        answered.max(minimum) as u32
    }
}
