//! Clocks that drift.

use ragwortrill_core::time::Instant;

/// Rate, in millionths, of a clock without drift.
const PPM: u64 = 1_000_000;

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading at the start of the world, in microseconds.
    pub start_us: u64,
    /// Rate relative to the world's time, in millionths.
    pub rate_ppm: u64,
}

impl Clock {
    /// Reads the clock at a moment of the world's time.
    pub fn read(&self, now: Instant) -> Instant {
        Instant(self.start_us + now.0 * self.rate_ppm / PPM)
    }
}
