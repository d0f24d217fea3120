//! Counts of the leader's exchanges with other hosts, for the log.

use std::cell::Cell;

use ragwortrill_core::time::{Instant, Span};

/// Shortest interval between two log lines on the exchanges.
pub const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Exchanges of a time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Reports of other hosts that were read.
    pub reports: u64,
    /// Bytes of their bodies.
    pub report_bytes: u64,
    /// Answers to reports.
    pub answers: u64,
    /// Bytes of their bodies.
    pub answer_bytes: u64,
}

/// Exchanges since they were last taken.
#[derive(Debug, Default)]
pub struct Tally {
    count: Cell<Count>,
    taken_at: Cell<Instant>,
}

impl Tally {
    /// Counts a report.
    pub fn add_report(&self, bytes: usize) {
        let mut count = self.count.get();
        count.reports += 1;
        count.report_bytes += bytes as u64;
        self.count.set(count);
    }

    /// Counts an answer to a report.
    pub fn add_answer(&self, bytes: usize) {
        let mut count = self.count.get();
        count.answers += 1;
        count.answer_bytes += bytes as u64;
        self.count.set(count);
    }

    /// Forgets all counts, since another time of leading begins.
    pub fn restart(&self, now: Instant) {
        self.count.take();
        self.taken_at.set(now);
    }

    /// Returns the exchanges since the last time and starts anew, or none if that time was less than
    /// [`LOG_INTERVAL`] ago.
    pub fn take(&self, now: Instant) -> Option<(Count, Span)> {
        let elapsed = now.since(self.taken_at.get());
        if elapsed < LOG_INTERVAL {
            return None;
        }
        self.taken_at.set(now);
        Some((self.count.take(), elapsed))
    }
}
