//! The monotonic clock of a process.

use std::time::{self, SystemTime, UNIX_EPOCH};

use ragwortrill_core::time::{Instant, Span};

/// Time before the start that the clock shows, so that no early difference is cut off at zero.
const START: Instant = Instant(Span::from_secs(86_400).0);

/// A monotonic clock in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock(time::Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(time::Instant::now())
    }

    /// Returns the current moment.
    pub fn now(&self) -> Instant {
        START + Span::from_micros(self.0.elapsed().as_micros() as u64)
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch, for records that people read.
pub(crate) fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
