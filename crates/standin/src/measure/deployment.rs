//! Sample deployments that load is measured on.

use ragwortrill_core::{name, time::Span};
use serde::Deserialize;

/// A deployment: data centres with delays, and services with their load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name on the command line.
    pub name: String,
    /// Data centres; targets and entries are spread over them in turn.
    pub data_centres: Vec<name::DataCentre>,
    /// Delay between data centres, one way.
    pub between: Span,
    /// Delay within a data centre, one way.
    pub within: Span,
    /// Delay between a caller and its entry, one way.
    pub client: Span,
    /// Time to open a connection to a target.
    pub connect: Span,
    /// Time from an append to the log until all daemons have read the record.
    pub append: Span,
    /// Number of distinct keys.
    pub keys: u32,
    /// Number of entry daemons.
    pub entries: usize,
    /// Services.
    pub services: Vec<Service>,
}

/// A service and its load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// True if each key belongs to one target.
    pub divided_by_key: bool,
    /// Number of slices.
    pub slices: u32,
    /// Requests that a target runs at the same time.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that may wait for a target.
    pub queue: u32,
    /// Longest time to an answer.
    pub deadline: Span,
    /// Mean service time on a warm target.
    pub service: Span,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// Share of requests that may run more than once.
    pub idempotent_percent: u32,
    /// Share of answers that stream for a while after the slot is free.
    pub download_percent: u32,
    /// Slots kept for non-idempotent requests.
    pub reserved_percent: u32,
}

impl Service {
    /// Returns the requests per second that all targets bear together.
    pub fn capacity(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(self.slots);
        slots * 1e6 / self.service.0 as f64
    }
}
