//! Time limits of the protocol.

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Divisor of a clock drift, which is given in parts per million.
const MILLION: u64 = 1_000_000;

/// Time limits of the protocol. All daemons of a system use the same ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Interval between heartbeats to a peer.
    pub heartbeat: Span,
    /// Time without a heartbeat after which a peer is suspected.
    pub suspicion: Span,
    /// Additional wait of the second standby, so that the two do not claim at the same time.
    pub second_standby: Span,
    /// Time for which a log proof or promises let a holder act.
    pub lease: Span,
    /// Largest difference between the rates of two clocks, in parts per million.
    pub drift_ppm: u64,
    /// Allowance for the time between a check of the lease and the send that it permits.
    pub margin: Span,
    /// Wait of a claimer that was no standby of the contract.
    pub outsider_wait: Span,
    /// Longest time that a read of the log waits for new records.
    pub log_wait: Span,
    /// Interval between probes of a target.
    pub probe: Span,
    /// Time without an answer to a probe after which a target counts as lost.
    pub target_lost: Span,
    /// Duration of a grant to a target.
    pub grant: Span,
    /// Interval between renewals of a grant.
    pub grant_renewal: Span,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            heartbeat: Span::from_millis(250),
            suspicion: Span::from_millis(1_200),
            second_standby: Span::from_millis(400),
            lease: Span::from_millis(1_500),
            drift_ppm: 10_000,
            margin: Span::from_millis(50),
            outsider_wait: Span::from_secs(3_600),
            log_wait: Span::from_millis(250),
            probe: Span::from_millis(250),
            target_lost: Span::from_secs(1),
            grant: Span::from_millis(1_500),
            grant_renewal: Span::from_millis(500),
        }
    }
}

impl Times {
    /// Returns the span on this clock after which `span` has ended on any other clock.
    pub fn outlast(&self, span: Span) -> Span {
        span.scale(MILLION + self.drift_ppm, MILLION - self.drift_ppm) + self.margin
    }

    /// Returns the wait of a standby that takes over.
    pub fn short_wait(&self) -> Span {
        self.outlast(self.lease)
    }

    /// Returns how long after a log proof a holder may act on promises alone.
    ///
    /// Rounded down: rounded up, it would end after an outsider's wait when the margin is zero.
    pub fn max_extension(&self) -> Span {
        let wait = u128::from((self.outsider_wait - self.margin).0);
        let (slow, fast) = (MILLION - self.drift_ppm, MILLION + self.drift_ppm);
        Span((wait * u128::from(slow) / u128::from(fast)) as u64)
    }
}
