//! Settings of an entry host.

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{name, time::Span};

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: name::Host,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval in which targets renew their entries in the store.
    pub heartbeat: Span,
    /// Limits of the host.
    pub limits: Limits,
    /// Times and amounts that the platform fixes.
    pub bounds: Bounds,
}

/// Addresses that a host listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness for the platform's load balancer.
    pub ready: SocketAddr,
    /// Other hosts, and metrics.
    pub hosts: Option<SocketAddr>,
}

/// Limits of the host.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Processor time, in percent of a core.
    pub processor_percent: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
}

/// Times and amounts that hold for all hosts of the system.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Time from the signal to end until the process is killed.
    pub grace: Span,
    /// Time after which a leaving target gets no requests.
    pub drain: Span,
    /// Time after which a configuration is in force.
    pub config_apply: Span,
    /// Longest lifetime of a grant.
    pub max_hold: Span,
    /// Retries that are allowed in proportion to the requests of a service.
    pub retry_ratio: f64,
    /// Retries that are allowed beyond that, in the budget's window.
    pub retry_slack: f64,
    /// Multiple of a cold target's rate that is tolerated.
    pub cold_overage: f64,
    /// Requests in a second that are tolerated besides, at a cold target.
    pub cold_slack: f64,
    /// Bounds by the platform's names, for logs.
    pub stated: BTreeMap<String, String>,
}

/// Time that is left of a bound when news are too old and an own read takes their place: for the
/// read, a repetition of it and the requests that are on their way.
const READ_MARGIN: Span = Span::from_millis(700);

impl Bounds {
    /// Returns the age up to which news that another host tells replace an own read, if they must
    /// be known within a time.
    pub fn max_relay_age(within: Span) -> Span {
        within - READ_MARGIN
    }
}
