use ragwortrill_core::number::Epoch;
use serde::{Deserialize, Serialize};

/// Right of a target to serve requests of an epoch, limited in time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Epoch of the ownership of the process that grants.
    pub epoch: Epoch,
    /// Time for which the target may serve, in milliseconds after `from_ms`.
    pub ttl_ms: u64,
    /// Start of the grant, in milliseconds on the target's own clock: the `clock_ms` of one of its
    /// load reports.
    ///
    /// With it, a grant that waited in a buffer while the target was frozen ends at the same time
    /// as one that was received at once. A start that lies after the target's clock counts as now.
    pub from_ms: u64,
    /// Run of the target whose clock the grant names: the `start_id` of the same load report. Another
    /// run refuses the grant (412), since its clock may show less. Holders of earlier releases name
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_id: Option<u64>,
}

/// Response to a grant with an epoch that is too low.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StaleEpoch {
    /// Highest epoch that the target has seen.
    pub highest: Epoch,
}

/// Load that a target reports. The numbers may lag behind or be wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Random number that the target chooses at each cold start, by which a restart is detected. It
    /// never lags, since a grant names it.
    pub start_id: u64,
    /// The target's monotonic clock, in milliseconds. It keeps running while the target is frozen,
    /// and never lags.
    pub clock_ms: u64,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cancellation {
    /// The target had the request, running or waiting, and cancelled it.
    Found,
    /// The target does not have the request. It may have ended before.
    Unknown,
}
