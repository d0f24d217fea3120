//! Entries by which targets register in the platform's store.

use std::net::SocketAddr;

use ragwortrill_core::{name, time::Span};

/// Identity of one run of a target, from its start to the next one: its id, start time and address.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Incarnation {
    /// Id of the target, which it may keep across restarts.
    pub id: name::Target,
    /// Start time in milliseconds since the Unix epoch, or 0 if it is unknown.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// Address for requests, grants and probes.
    pub address: SocketAddr,
}

/// Entry of a target in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Incarnation of the target that wrote the entry.
    pub incarnation: Incarnation,
    /// Service that the target belongs to.
    pub service: name::Service,
    /// Data centre in which the target runs.
    pub data_centre: name::DataCentre,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target drains before it stops.
    pub is_draining: bool,
    /// Time for which the target is still cold.
    pub cold: Span,
    /// Number of the entry, which rises with each entry of the incarnation; 0 if it is unknown.
    pub sequence: u64,
}
