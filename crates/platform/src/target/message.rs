use ragwortrill_core::number::Epoch;
use serde::{Deserialize, Serialize};

/// Right to serve, with an epoch and a time to live.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Epoch of the granting holder's contract.
    pub epoch: Epoch,
    /// Time for which the target may serve, in milliseconds from `from_ms`.
    pub ttl_ms: u64,
    /// Moment on the target's own clock that one of its load reports showed, in milliseconds.
    ///
    /// A grant that waited in a buffer while the target was frozen has no more life left than one
    /// that was received at once.
    pub from_ms: u64,
}

/// Answer to a grant with an epoch that is too low.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StaleEpoch {
    /// Highest epoch that the target has seen.
    pub highest: Epoch,
}

/// Load that a target reports. It may lag or mislead.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number drawn at each cold start.
    pub start_id: u64,
    /// The target's monotonic clock, in milliseconds. It goes on while the target is frozen.
    pub clock_ms: u64,
}

/// Whether a cancellation found its request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cancellation {
    /// The request ran or waited, and was cancelled.
    Found,
    /// The target has no such request. It may have ended before.
    Unknown,
}
