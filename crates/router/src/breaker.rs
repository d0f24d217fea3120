//! Circuit breaker for requests to one target.

use ragwortrill_core::time::{Instant, Span};

/// Consecutive failures after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 3;
/// Time for which the breaker stays open the first time. It doubles each time it opens again before
/// the target answers.
const MIN_BACKOFF: Span = Span::from_millis(400);
/// Maximum time for which the breaker stays open.
const MAX_BACKOFF: Span = Span::from_millis(2_000);

/// Circuit breaker of a target. While it is open, the target gets no requests.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    trips: u32,
    until: Instant,
}

impl Breaker {
    /// Records an answer. Returns whether the breaker opened since the last one.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        std::mem::take(&mut self.trips) > 0
    }

    /// Records a failure to connect or a missing answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            self.open(now);
        }
    }

    /// Records that the target refused a connection, which opens the breaker at once.
    pub fn record_refusal(&mut self, now: Instant) {
        self.open(now);
    }

    /// Tells whether the target may get requests.
    pub fn is_closed(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Tells whether the target has failed and has not answered since.
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
