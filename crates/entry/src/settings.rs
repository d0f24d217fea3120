//! Settings of an entry host.

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{name, time::Span};
use ragwortrill_router::tree;

/// Settings of one entry host process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: name::Host,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Addresses on which the host listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval in which targets renew their entries in the store.
    pub heartbeat: Span,
    /// Whether all hosts start for the first time, so that none is known yet.
    pub is_first_start: bool,
    /// Limits of the host.
    pub limits: Limits,
    /// Sizes of the tree in which hosts report to the leader.
    pub tree: tree::Limits,
    /// Times and amounts that the platform fixes.
    pub bounds: Bounds,
}

/// Addresses on which a host listens.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness checks of the platform's load balancer.
    pub ready: SocketAddr,
    /// Address for other hosts and for metrics; none if the host is not reachable for others.
    pub hosts: Option<SocketAddr>,
    /// Address for requests that other hosts forward; none if this host takes none.
    pub forwards: Option<SocketAddr>,
}

/// Limits of the host.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Available processor time, in percent of a core.
    pub processor_percent: u32,
    /// Available memory in megabytes; 0 if it is unknown.
    pub memory_mb: u64,
    /// Largest number of open file descriptors for connections.
    pub descriptors: u64,
    /// Bandwidth of the host's link in megabits a second; 0 if it is unknown.
    pub link_mbps: u32,
}

/// Times and amounts that hold for all hosts of the system.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Time from the termination signal until the process is killed.
    pub grace: Span,
    /// Time within which a target that leaves must stop getting requests.
    pub drain: Span,
    /// Time within which a new configuration must be effective.
    pub config_apply: Span,
    /// Longest lifetime of a grant.
    pub max_hold: Span,
    /// Allowed retries, as a ratio of the requests of a service.
    pub retry_ratio: f64,
    /// Number of retries per budget window that are allowed beyond the ratio.
    pub retry_slack: f64,
    /// Tolerated request rate at a cold target, as a multiple of its allowed rate.
    pub cold_overage: f64,
    /// Requests per second at a cold target that are tolerated beyond that.
    pub cold_slack: f64,
    /// The bounds as the platform states them, by name, for logs.
    pub stated: BTreeMap<String, String>,
}

/// Time left of a bound when relayed records have become too old and this host reads the store
/// itself: enough for the read, one retry and the requests that are already being sent.
const READ_MARGIN: Span = Span::from_millis(700);

impl Bounds {
    /// Returns the age up to which records relayed by the leader replace an own read, if changes
    /// must be effective within a time.
    pub fn max_relay_age(within: Span) -> Span {
        within - READ_MARGIN
    }
}
