//! Pace at which the leader answers the reports of other hosts, and at which it plans.

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
