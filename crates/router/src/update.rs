//! Age of an update of the store's contents that a host receives from the leader.

use ragwortrill_core::time::{Instant, Span};

/// Times on the leader's clock that are sent with the update of a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time from the arrival of the host's report to the leader's answer.
    pub held: Span,
    /// Time from the store's confirmation of the newest record to the leader's answer.
    pub age: Span,
}

impl Timing {
    /// Returns a lower bound of the time at which the store confirmed the newest record, on the
    /// clock of a host that sent its report at `sent`.
    ///
    /// The report arrived after it was sent, so the leader answered at least `held` after `sent`.
    pub fn confirmed_at(self, sent: Instant) -> Instant {
        sent + self.held - self.age
    }
}
