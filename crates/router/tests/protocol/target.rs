//! Target of the model: it takes, refuses and releases keys as the platform's targets do.

use std::net::SocketAddr;

use ragwortrill_core::{name, time::Instant};
use ragwortrill_router::{
    assignment::Key,
    leader::{Operation, Order},
    registration::Incarnation,
};

/// Percentage by which a target's clock may be slow.
const CLOCK_DRIFT_PERCENT: u64 = 2;

/// Keys from the first to the last with an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Keys {
    pub first: Key,
    pub last: Key,
    pub epoch: u64,
}

/// Keys that a target holds until a time.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub keys: Keys,
    pub until: Instant,
}

/// Order that has arrived at a target, or will, and is not carried out yet.
#[derive(Clone, Debug)]
pub struct Pending {
    pub order: Order,
    pub arrives_at: Instant,
    /// When it is carried out, unless an event does it.
    pub due: Option<Instant>,
    /// Whether the process that uses the address when it arrives gets and answers it.
    pub is_connecting: bool,
    /// Whether the leader that sent it still leads.
    pub is_awaited: bool,
}

/// One run of a target.
#[derive(Clone, Debug)]
pub struct Target {
    pub incarnation: Incarnation,
    pub service: name::Service,
    pub is_running: bool,
    pub held: Vec<Grant>,
    /// Highest epochs that the target has seen.
    pub seen: Vec<Keys>,
    pub pending: Vec<Pending>,
}

impl Keys {
    pub fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    fn contains(&self, other: &Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns the parts that lie outside of others.
    fn without(self, other: &Self) -> impl Iterator<Item = Self> {
        let head = (self.first < other.first).then(|| Self {
            last: self.last.min(other.first.saturating_sub(1)),
            ..self
        });
        let tail = (self.last > other.last).then(|| Self {
            first: self.first.max(other.last.saturating_add(1)),
            ..self
        });
        head.into_iter().chain(tail)
    }
}

/// Adds keys to a list, in place of those within them that have lower epochs.
pub fn record(list: &mut Vec<Keys>, keys: Keys) {
    list.retain(|known| !keys.contains(known) || known.epoch > keys.epoch);
    list.push(keys);
}

/// Returns the keys of an order, with its epoch.
pub fn keys(order: &Order) -> Keys {
    Keys {
        first: order.first,
        last: order.last,
        epoch: order.fence,
    }
}

/// Returns when a grant ends that arrives at a time, or `None` for a release.
pub fn end(order: &Order, arrival: Instant) -> Option<Instant> {
    match order.operation {
        Operation::Grant { hold, .. } => Some(arrival + hold.scale(100 + CLOCK_DRIFT_PERCENT, 100)),
        Operation::Release => None,
    }
}

impl Target {
    pub fn new(service: name::Service, id: &str, start_ms: u64, address: SocketAddr) -> Self {
        Self {
            incarnation: Incarnation {
                id: id.parse().unwrap(),
                start_ms,
                address,
            },
            service,
            is_running: true,
            held: Vec::new(),
            seen: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Tells whether the target has seen a higher epoch on one of the keys of a grant.
    pub fn refuses(&self, order: &Order) -> bool {
        let keys = keys(order);
        let mut seen = self.seen.iter();
        order.operation != Operation::Release
            && seen.any(|seen| seen.overlaps(&keys) && seen.epoch > keys.epoch)
    }

    /// Carries out an order that is not refused. Returns the grant, unless it has ended.
    pub fn carry_out(&mut self, now: Instant, order: &Order, arrival: Instant) -> Option<Grant> {
        let keys = keys(order);
        record(&mut self.seen, keys);
        self.held.retain(|held| held.until > now);
        let Some(until) = end(order, arrival) else {
            self.release(&keys);
            return None;
        };
        if until <= now {
            return None;
        }
        let grant = Grant { keys, until };
        self.take_out(&keys);
        self.held.push(grant);
        Some(grant)
    }

    /// Stops work on keys that were granted by lower epochs.
    fn release(&mut self, keys: &Keys) {
        let (kept, released): (Vec<Grant>, Vec<Grant>) = self
            .held
            .drain(..)
            .partition(|held| held.keys.epoch >= keys.epoch);
        self.held = released;
        self.take_out(keys);
        self.held.extend(kept);
    }

    fn take_out(&mut self, keys: &Keys) {
        let held = self.held.drain(..);
        let parts = held.flat_map(|held| {
            let parts = held.keys.without(keys);
            parts.map(move |keys| Grant { keys, ..held })
        });
        self.held = parts.collect();
    }

    /// Returns until when the target may hold some of the keys, by its grants or by an order that it
    /// may still carry out.
    pub fn may_hold_until(&self, now: Instant, keys: &Keys) -> Option<Instant> {
        let held = self.held.iter().filter(|held| held.keys.overlaps(keys));
        let held = held.map(|held| held.until);
        let pending = self.pending.iter().filter(|pending| {
            self::keys(&pending.order).overlaps(keys) && !self.refuses(&pending.order)
        });
        let pending = pending.filter_map(|pending| end(&pending.order, pending.arrives_at));
        held.chain(pending).filter(|until| *until > now).max()
    }
}
