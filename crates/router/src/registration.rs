//! What a target says of itself in the platform's store.

use std::net::SocketAddr;

use ragwortrill_core::{name, time::Span};

/// Identifies one life of a target: its id, its start and its address.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Incarnation {
    /// Id, which a target may keep across restarts.
    pub id: name::Target,
    /// Start in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// Address for requests, grants and probes.
    pub address: SocketAddr,
}

/// One entry of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Id, start and address.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: name::Service,
    /// Data centre that it is in.
    pub data_centre: name::DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it is cold.
    pub cold: Span,
}
