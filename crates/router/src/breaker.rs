//! Circuit breaker of one target.

use ragwortrill_core::time::{Instant, Span};

/// Failures in a row after which a target is avoided.
const FAILURE_THRESHOLD: u32 = 3;
/// Time for which a target is avoided first.
const MIN_BACKOFF: Span = Span::from_millis(400);
/// Longest time for which a target is avoided.
const MAX_BACKOFF: Span = Span::from_millis(2_000);

/// Whether a target takes requests, from its recent failures.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    trips: u32,
    until: Instant,
}

impl Breaker {
    /// Notes an answer. Returns whether the target was avoided before.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        std::mem::take(&mut self.trips) > 0
    }

    /// Notes a failure to connect or an answer that never came.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            self.open(now);
        }
    }

    /// Notes that the target refuses connections: it is avoided at once.
    pub fn record_refusal(&mut self, now: Instant) {
        self.open(now);
    }

    /// Tells whether the target takes requests.
    pub fn is_closed(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Tells whether the target has failed and not answered since.
    pub fn is_unproven(&self) -> bool {
        self.failures > 0 || self.trips > 0
    }

    fn open(&mut self, now: Instant) {
        if now < self.until {
            return;
        }
        let backoff = MIN_BACKOFF.scale(1 << self.trips.min(4), 1);
        self.until = now + backoff.min(MAX_BACKOFF);
        self.trips += 1;
        self.failures = 0;
    }
}
