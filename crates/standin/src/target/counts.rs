use std::collections::BTreeMap;

/// Counters of a target since its creation, kept across crashes, and three gauges.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Cancellations that found their request.
    pub cancelled: u64,
    /// Open connections. A gauge.
    pub connections: usize,
    /// Largest number of open connections.
    pub connections_peak: usize,
    /// Connections closed on arrival because of the limit.
    pub connections_refused: u64,
    /// Crashes of the target while it ran.
    pub crashes: u64,
    /// Requests and downloads that ran to their end.
    pub finished: u64,
    /// Requests received while the key's recorded owner was another target.
    pub wrong_owner: u64,
    /// Requests that started to run while the key's recorded owner was another target.
    pub wrong_owner_runs: u64,
    /// Grants accepted.
    pub grants: u64,
    /// Requests and downloads that started but did not finish, because of a crash for example.
    pub interrupted: u64,
    /// Number of runs by key.
    pub key_runs: BTreeMap<String, u32>,
    /// Requests that arrived while at least as many requests as slots were running or waiting.
    pub over_slots: u64,
    /// Health checks and load queries.
    pub probes: u64,
    /// Requests received, not counting those to the control interface.
    pub received: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests running now. A gauge.
    pub running: usize,
    /// Largest number of requests that ran at the same time.
    pub running_peak: usize,
    /// Number of runs by request identifier.
    pub runs: BTreeMap<String, u32>,
    /// Requests received with an epoch below the highest that was ever received.
    pub stale: u64,
    /// Grants received with an epoch below the highest that was ever received.
    pub stale_grants: u64,
    /// Requests that started to run with an epoch below the highest that was ever received.
    pub stale_runs: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Requests waiting for a slot now. A gauge.
    pub waiting: usize,
    /// Largest number of requests that waited at the same time.
    pub waiting_peak: usize,
}

impl Counts {
    /// Returns the request identifiers that ran more than once.
    pub fn repeated(&self) -> Vec<&str> {
        let repeated = self.runs.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(request, _)| request.as_str()).collect()
    }
}
