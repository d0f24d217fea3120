//! Pace at which the leader answers the reports of other hosts and plans, and at which each host makes
//! probes for others.

use ragwortrill_core::time::{Instant, Span};

/// Shortest interval between two answers of the leader, whatever happens and however many hosts
/// report.
pub const ANSWER_INTERVAL: Span = Span::from_millis(5);
/// Shortest pause between two planning steps, however many answers of targets arrive.
const MIN_PLANNING_PAUSE: Span = Span::from_millis(10);
/// Shortest pause after a planning step, as a multiple of the time that the step took, so that
/// planning leaves the event loop to callers for most of the time.
const PLANNING_PAUSE_FACTOR: u64 = 4;
/// Longest pause after a planning step. A step that a paused process interrupts looks long.
const MAX_PLANNING_PAUSE: Span = Span::from_millis(200);

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

/// Returns the pause after a planning step that took a time.
pub fn planning_pause(elapsed: Span) -> Span {
    let pause = elapsed.scale(PLANNING_PAUSE_FACTOR, 1);
    pause.clamp(MIN_PLANNING_PAUSE, MAX_PLANNING_PAUSE)
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
