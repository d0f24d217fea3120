//! A host's share of limits that apply to all hosts together.

use ragwortrill_core::{name, placement};

/// Number of hosts added to the known ones, so that a new host that is not known yet does not cause
/// a limit to be exceeded.
const SPARE_HOSTS: u32 = 1;

/// An equal share of a limit for each host, as the number of hosts that the limit is divided by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share(u32);

impl Share {
    /// Returns the share of each of `hosts` known hosts, with a reserve for new ones.
    pub fn among(hosts: usize) -> Self {
        Self((hosts as u32).max(1) + SPARE_HOSTS)
    }

    /// Returns this host's part of a total.
    pub fn of(self, total: f64) -> f64 {
        total / f64::from(self.0)
    }

    /// Returns this host's part of a count, rounded down, but at least `minimum`.
    pub fn count(self, total: u32, minimum: u32) -> u32 {
        (total / self.0).max(minimum)
    }
}

/// Limit on requests to a cold target, and the excess over it that is tolerated.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests per second that the target can serve.
    pub rate: f64,
    /// Multiple of the rate that is tolerated.
    pub overage: f64,
    /// Number of requests in a second that are tolerated in addition.
    pub slack: f64,
}

/// Fraction of the tolerated excess that hosts may use by sending in the same second.
const USED_EXCESS_RATIO: f64 = 0.6;

impl ColdLimit {
    /// Returns the requests per second that a host may send to a cold target, or `None` if only
    /// other hosts may send to it.
    ///
    /// Each sending host may exceed its rate by one request, so the number of sending hosts is
    /// limited to what the tolerated excess allows.
    pub fn host_rate(self, target: &name::Target, host: &str, hosts: &[&str]) -> Option<f64> {
        let excess = self.rate * (self.overage - 1.0) + self.slack;
        let max_senders = ((excess * USED_EXCESS_RATIO) as usize).max(1);
        let ranked = placement::rank(target.as_str(), hosts.iter().copied());
        let senders = max_senders.min(ranked.len().max(1));
        let is_sender = ranked.is_empty() || ranked[..senders].contains(&host);
        is_sender.then_some(self.rate / senders as f64)
    }
}
