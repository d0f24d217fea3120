//! A host's share of limits that hold for all hosts together.

use ragwortrill_core::{name, placement};

/// Extra hosts that are allowed for, so that a new host breaks no limit before it is known.
const SPARE_HOSTS: u32 = 1;

/// Number of hosts that share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share(u32);

impl Share {
    /// Creates the share among `hosts` known hosts.
    pub fn among(hosts: usize) -> Self {
        Self((hosts as u32).max(1) + SPARE_HOSTS)
    }

    /// Returns the part of a rate or an amount.
    pub fn of(self, total: f64) -> f64 {
        total / f64::from(self.0)
    }

    /// Returns the part of a count, at least `least`.
    pub fn count(self, total: u32, minimum: u32) -> u32 {
        (total / self.0).max(minimum)
    }
}

/// What a cold target bears, and what is tolerated beyond that, in requests per second.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests per second that the target bears.
    pub rate: f64,
    /// Multiple of the rate that is tolerated.
    pub overage: f64,
    /// Requests in a second that are tolerated besides.
    pub slack: f64,
}

/// Part of the tolerated excess that hosts use for requests that fall into the same second.
const USED_EXCESS_RATIO: f64 = 0.6;

impl ColdLimit {
    /// Returns the requests per second that a host may send to a cold target; none if other hosts
    /// send to it.
    ///
    /// Each host that sends may have one request at once besides its rate, so no more hosts send
    /// than the tolerated excess has room for.
    pub fn host_rate(self, target: &name::Target, host: &str, hosts: &[&str]) -> Option<f64> {
        let excess = self.rate * (self.overage - 1.0) + self.slack;
        let max_senders = ((excess * USED_EXCESS_RATIO) as usize).max(1);
        let ranked = placement::rank(target.as_str(), hosts.iter().copied());
        let senders = max_senders.min(ranked.len().max(1));
        let is_sender = ranked.is_empty() || ranked[..senders].contains(&host);
        is_sender.then_some(self.rate / senders as f64)
    }
}
