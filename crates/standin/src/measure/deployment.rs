//! Deployments that are simulated.

use ragwortrill_core::{name, time::Span};
use serde::Deserialize;

/// Data centres with network delays, and services with their load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name on the command line.
    pub name: String,
    /// Data centres, to which targets and entries are assigned in turn.
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
    /// Services, each simulated on its own.
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
    /// Maximum number of requests that a target runs at the same time.
    pub slots: u32,
    /// Maximum number of connections of a target.
    pub connections: u32,
    /// Maximum number of requests that wait for a target.
    pub queue: u32,
    /// Maximum time to an answer.
    pub deadline: Span,
    /// Mean service time on a warm target.
    pub service: Span,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// Share of requests that may run more than once, in per cent.
    pub idempotent_percent: u32,
    /// Share of answers that continue to stream after the slot is free, in per cent.
    pub download_percent: u32,
    /// Share of slots reserved for non-idempotent requests, in per cent.
    pub reserved_percent: u32,
}

impl Service {
    /// Returns the requests per second that all targets together can serve.
    pub fn capacity(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(self.slots);
        slots * 1e6 / self.service.0 as f64
    }
}
