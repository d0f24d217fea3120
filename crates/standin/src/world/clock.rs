//! Clocks that run at their own rates.

use ragwortrill_core::time::Instant;

/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// The monotonic clock of a process or target.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading at the start of the world.
    pub start: u64,
    /// Rate in millionths of the world's.
    pub rate: u64,
}

impl Clock {
    /// Reads the clock at a moment of the world's time.
    pub fn read(&self, now: Instant) -> Instant {
        Instant(self.start + now.0 * self.rate / MILLION)
    }
}
