//! Pace at which the leader answers the reports of other hosts.

use ragwortrill_core::time::{Instant, Span};

/// Shortest interval between two answers of the leader, whatever happens and however many hosts
/// report.
pub const ANSWER_INTERVAL: Span = Span::from_millis(5);

/// Allots a time to each answer, so that events don't raise their rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    next: Instant,
}

impl Pace {
    /// Returns when the next answer may be sent, and takes that time.
    pub fn allot(&mut self, now: Instant) -> Instant {
        let at = self.next.max(now);
        self.next = at + ANSWER_INTERVAL;
        at
    }
}

/// Returns the time in which each of a number of hosts gets an answer.
pub fn round(hosts: usize) -> Span {
    ANSWER_INTERVAL.scale(hosts as u64, 1)
}
