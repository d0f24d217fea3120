//! Pace at which the leader answers the reports of other hosts, and at which each host makes probes
//! for others.

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

/// Shortest interval between two probes of targets that a host makes for others.
pub const PROBE_INTERVAL: Span = Span::from_millis(10);
/// Longest time for which a probe waits for its turn. A host that asks waits 450 ms for the answer,
/// and the probe itself may take 250 ms.
pub const MAX_PROBE_DELAY: Span = Span::from_millis(150);

/// Allots a time to each probe that other hosts ask for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    next: Instant,
}

impl Turns {
    /// Returns when the next probe may be made, and takes that time; none if it is too late for the
    /// host that asks.
    pub fn allot(&mut self, now: Instant) -> Option<Instant> {
        let at = self.next.max(now);
        if at.since(now) > MAX_PROBE_DELAY {
            return None;
        }
        self.next = at + PROBE_INTERVAL;
        Some(at)
    }
}
