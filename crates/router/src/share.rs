//! A host's share of limits that apply to all hosts together.

use ragwortrill_core::{
    name, placement,
    rate_limit::{Part, Rate},
};

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
        let senders = senders(target, host, hosts, max_senders)?;
        Some(self.rate / senders as f64)
    }
}

/// Time in which the requests that hosts send at the same moment exceed a stated rate at most.
const MAX_EXCESS_TIME_S: f64 = 1.2;
/// Hosts that share a stated rate, however low it is.
const MIN_SENDERS: f64 = 3.0;

/// Returns a host's part of the rate that a target states, or `None` if only other hosts may send
/// to the target.
///
/// As for a cold target, each sending host may exceed its part by one request at any moment.
pub fn rate_limit_part(
    rate: Rate,
    target: &name::Target,
    host: &str,
    hosts: &[&str],
) -> Option<Part> {
    let max_senders = rate.per_second() * MAX_EXCESS_TIME_S + MIN_SENDERS;
    let senders = senders(target, host, hosts, max_senders as usize)?;
    Some(rate.part(senders))
}

/// Returns how many hosts send to a target that only some may send to, or `None` if this host is
/// not among them.
fn senders(target: &name::Target, host: &str, hosts: &[&str], max_senders: usize) -> Option<usize> {
    let ranked = placement::rank(target.as_str(), hosts.iter().copied());
    let senders = max_senders.min(ranked.len().max(1));
    let is_sender = ranked.is_empty() || ranked[..senders].contains(&host);
    is_sender.then_some(senders)
}
