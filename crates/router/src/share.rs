//! A host's share of limits that hold for all hosts together.

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
    pub fn count(self, total: u32, least: u32) -> u32 {
        (total / self.0).max(least)
    }
}
