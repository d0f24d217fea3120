//! Requests that wait for a place at a target, under more load than the targets bear.
//!
//! Requests that can still be answered within their objective go first, the newest of them before
//! the others: in an overload the oldest would otherwise all be answered just too late. Requests
//! that are late already get what is left. A queue is no longer than what its places can serve
//! within the objective; beyond that, the request that would be served last is refused at once, so
//! that its caller can come back elsewhere.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::{registration::Incarnation, share::Share};

/// Microseconds in a second.
const US_PER_SECOND: f64 = 1e6;
/// Rounds of an owner's slots that may wait for it, of all hosts, whatever it answered lately.
const MIN_ROUNDS: u32 = 3;
/// Least requests that may wait for one spot.
const MIN_WAITING: u32 = 3;

/// What a request waits for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Any target of a service.
    Any(name::Service),
    /// The owner of its key.
    Owner(Incarnation),
    /// A key that has no owner at this moment.
    Unowned(name::Service),
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Request {
    /// What it waits for.
    pub resource: Resource,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u32,
    /// Latest moment at which a target can begin it so that its objective is met.
    pub start_by: Instant,
}

/// All waiting requests of a host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    next: u64,
    waiting: BTreeMap<Ticket, Request>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Request) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Changes what a request waits for.
    pub fn set_resource(&mut self, ticket: Ticket, resource: Resource) {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.resource = resource;
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the requests in the order in which they are served.
    pub fn order(&self, now: Instant) -> Vec<Ticket> {
        let mut tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        tickets.sort_by_key(|ticket| self.rank(now, *ticket));
        tickets
    }

    /// Returns the request that is refused because more wait for the spot than `most`.
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

/// Returns how many requests may wait for a spot: as many as its places serve within a time.
pub fn capacity(concurrency: u32, response_time: Span, max_wait: Span) -> u32 {
    let rounds = max_wait.0 / response_time.0.max(1);
    (u64::from(concurrency) * rounds).clamp(u64::from(MIN_WAITING), 10_000) as u32
}

/// A host's part of the requests that may wait for the owner of their keys.
///
/// It answers for a busy owner that many hosts share: each sees a part of the owner's places only,
/// and requests that wait for the places of all of them are refused when their time is over.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Requests per second that the owner answers to this host.
    pub per_second: f64,
    /// Requests that the owner runs at once.
    pub slots: u32,
    /// Number of hosts that share it.
    pub share: Share,
}

impl Quota {
    /// Returns how many requests may wait: as many as the owner answers to this host within a time,
    /// or the host's part of a few rounds of its slots. With many hosts that is none: the next
    /// request that arrives when there is a place is served sooner.
    pub fn limit(self, max_wait: Span) -> u32 {
        let answered = self.per_second * max_wait.0 as f64 / US_PER_SECOND;
        let minimum = self.share.of(f64::from(self.slots * MIN_ROUNDS));
        answered.max(minimum) as u32
    }
}
