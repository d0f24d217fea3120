//! Control interface of a target: grants, health, load and cancellation.
//!
//! `PUT /control/grant`, `GET /control/health`, `GET /control/load` and
//! `POST /control/cancel/{request}`.

mod client;
mod message;
mod refusal;

pub use client::Client;
pub use message::{Cancellation, Grant, Load, StaleEpoch};
pub use refusal::Refusal;

/// Path of grants.
pub const GRANT_PATH: &str = "/control/grant";
/// Path of the health check.
pub const HEALTH_PATH: &str = "/control/health";
/// Path of the load report.
pub const LOAD_PATH: &str = "/control/load";
/// Path of cancellations; the request's identifier follows it.
pub const CANCEL_PATH: &str = "/control/cancel/";

/// Header with the epoch of the ownership under which a request is sent.
pub const EPOCH_HEADER: &str = "Ragwortrill-Epoch";
/// Header with the time that remains for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = crate::headers::DEADLINE_MS;
/// Header with the identifier of a request.
pub const REQUEST_HEADER: &str = crate::headers::REQUEST;

/// Header by which a target states that it did not run a request and will not run it. Its value is
/// the text of a [`Refusal`].
pub const REFUSED_HEADER: &str = "Ragwortrill-Refused";

/// Header of an answer in which a target states how many requests per second it takes, as a decimal
/// number, for as long as its answers state it. Calls of the control interface don't count.
pub const RATE_LIMIT_HEADER: &str = "Ragwortrill-Rate-Limit";

/// Header of an answer in which a target states that it leaves. Its value is [`IS_LEAVING`]. The
/// statement holds until the target's run ends.
pub const LEAVING_HEADER: &str = "Ragwortrill-Leaving";
/// Value of [`LEAVING_HEADER`] in the answers of a target that leaves.
pub const IS_LEAVING: &str = "true";

/// Largest response of the control interface that a client accepts, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Reason why a control request to a target failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The grant names the clock of an earlier run of the target.
    #[error("the target has restarted since the load report that the grant names; probe it again")]
    EarlierRun,
    /// The target has seen a higher epoch, so another process owns it now.
    #[error(
        "the target has seen epoch {highest}, above the granted {granted}; \
         stop sending to it and read the log"
    )]
    StaleEpoch {
        /// Epoch of the grant.
        granted: ragwortrill_core::number::Epoch,
        /// Highest epoch that the target has seen.
        highest: ragwortrill_core::number::Epoch,
    },
    /// The HTTP exchange failed or its response was not usable.
    #[error(transparent)]
    Http(#[from] crate::error::Error),
}
