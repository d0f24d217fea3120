//! Settings of a world.

use rand::{RngExt, rngs::Xoshiro256PlusPlus};

use ragwortrill_core::{
    name,
    node::{Config, Node},
    process::Process,
    time::Span,
    times::Times,
};

use super::{clock::Clock, process::Daemon, target::Target};

/// How the target of a request is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// By the core with its contracts, leases and promises.
    #[default]
    Core,
    /// By the core without promises: only reads of the log extend a lease.
    LogOnly,
    /// Each entry hashes the key over the targets that answer its probes, without leases or a log.
    Hashing,
}

/// Builds a world.
#[derive(Clone, Debug)]
pub struct Builder {
    pub(super) daemons: usize,
    pub(super) lookups: usize,
    pub(super) orders: usize,
    pub(super) loss_ppm: u32,
    pub(super) drift: bool,
    pub(super) policy: Policy,
    pub(super) times: Times,
    pub(super) checks: bool,
    pub(super) service_time: Span,
    pub(super) deadline: Span,
    pub(super) table: bool,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            daemons: 6,
            lookups: 6,
            orders: 3,
            loss_ppm: 0,
            drift: true,
            policy: Policy::Core,
            times: Times::default(),
            checks: true,
            service_time: Span::from_millis(5),
            deadline: Span::from_secs(10),
            table: true,
        }
    }
}

impl Builder {
    /// Sets the number of daemons.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Sets the number of targets of the service divided by key, and of the one that is not.
    pub fn targets(mut self, lookups: usize, orders: usize) -> Self {
        self.lookups = lookups;
        self.orders = orders;
        self
    }

    /// Sets the share of messages that links lose, in millionths.
    pub fn loss_ppm(mut self, loss: u32) -> Self {
        self.loss_ppm = loss;
        self
    }

    /// Sets whether clocks drift, up to the drift in the time limits.
    pub fn drift(mut self, drift: bool) -> Self {
        self.drift = drift;
        self
    }

    /// Sets how the target of a request is chosen.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets whether targets check epochs.
    pub fn checks(mut self, checks: bool) -> Self {
        self.checks = checks;
        self
    }

    /// Sets the service time of a warm target.
    pub fn service_time(mut self, span: Span) -> Self {
        self.service_time = span;
        self
    }

    /// Sets the deadline of requests.
    pub fn deadline(mut self, span: Span) -> Self {
        self.deadline = span;
        self
    }

    /// Sets the time limits of the protocol.
    pub fn times(mut self, times: Times) -> Self {
        self.times = times;
        self
    }

    /// Sets whether the log contains the table from the start.
    pub fn table(mut self, table: bool) -> Self {
        self.table = table;
        self
    }

    pub(super) fn data_centres(&self) -> usize {
        super::table::DATA_CENTRES.len()
    }

    pub(super) fn new_targets(&self) -> Vec<Target> {
        let names = super::table::targets(self).into_iter();
        let checks = self.checks;
        names.map(|name| Target::new(name, checks)).collect()
    }

    pub(super) fn new_daemons(&self, random: &mut Xoshiro256PlusPlus) -> Vec<Daemon> {
        let indices = 0..self.daemons;
        indices
            .map(|index| Daemon::new(self.node(index, 0), self.clock(random)))
            .collect()
    }

    /// Creates the node of a daemon's process after `restarts` earlier ones. Incarnations are
    /// unique in the world.
    pub(super) fn node(&self, index: usize, restarts: u64) -> Node {
        let incarnation = (index as u64 + 1) * 0x1000 + restarts;
        let host: name::Host = super::table::parse(&format!("h{index}"));
        Node::new(Config {
            process: Process { host, incarnation },
            address: super::table::address(7_000 + index),
            data_centre: super::table::data_centre(index),
            times: self.times.clone(),
        })
    }

    /// Creates a clock with a random rate. Two clocks may differ by the drift in the time limits,
    /// so each drifts by at most half of it.
    pub(super) fn clock(&self, random: &mut Xoshiro256PlusPlus) -> Clock {
        let half = self.times.drift_ppm / 2 * u64::from(self.drift);
        Clock {
            start_us: random.random_range(1_000_000..1_000_000_000),
            rate_ppm: 1_000_000 - half + random.random_range(0..=2 * half),
        }
    }
}
