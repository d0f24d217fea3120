//! The monotonic clock of a process and the wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use ragwortrill_core::time::{Instant, Span};
use rustix::time::{ClockId, clock_gettime};

/// Time that a clock shows when it starts. It is far from zero, so that subtracting a span from an
/// early time is not cut off at zero.
const START_TIME: Instant = Instant(Span::from_secs(86_400).0);

/// A monotonic clock in microseconds.
///
/// Unlike the standard library's clock, it includes time during which the machine is suspended: a
/// lease must not outlast a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Span);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(since_boot())
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        START_TIME + (since_boot() - self.0)
    }
}

fn since_boot() -> Span {
    let time = clock_gettime(ClockId::Boottime);
    Span::from_secs(time.tv_sec as u64) + Span::from_micros(time.tv_nsec as u64 / 1_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for records that people read.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
