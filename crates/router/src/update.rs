//! How old the leader's news are when a host learns them.

use ragwortrill_core::time::{Instant, Span};

/// Times on the leader's clock that come with the news of a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between the arrival of the host's report and the answer.
    pub held: Span,
    /// Time between the store's statement and the answer.
    pub age: Span,
}

impl Timing {
    /// Returns when the store stated what is newest, at the latest, on the clock of a host that
    /// sent its report at `sent`.
    ///
    /// The report arrived after it was sent, so the answer was written at least `held` later.
    pub fn confirmed_at(self, sent: Instant) -> Instant {
        sent + self.held - self.age
    }
}
