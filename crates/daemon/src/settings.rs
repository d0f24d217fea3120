//! Settings of a daemon.

use std::net::SocketAddr;

use ragwortrill_core::{name, time::Span, times::Times};
use serde::Deserialize;

/// Settings of a daemon, read from a JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: name::Host,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Address that takes callers' requests by HTTP.
    pub callers: SocketAddr,
    /// Address that accepts links from other daemons.
    pub peers: SocketAddr,
    /// Address for operators: health, readiness, metrics, status and changes.
    pub operators: SocketAddr,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Secret that the daemons of a system share.
    pub secret: String,
    /// Secret that operators' changes need.
    pub operator_token: String,
    /// Threads that serve callers.
    #[serde(default = "workers")]
    pub workers: usize,
    /// Longest time that a stopping daemon waits for requests to end.
    #[serde(default = "drain_limit")]
    pub drain_limit: Span,
    /// Time limits of the protocol, the same at all daemons.
    #[serde(default)]
    pub times: Times,
}

fn workers() -> usize {
    2
}

fn drain_limit() -> Span {
    Span::from_secs(60)
}
