//! Rate limiter.

use ragwortrill_core::time::Instant;

/// A token bucket that limits events per second and bursts.
#[derive(Clone, Debug)]
pub struct Rate {
    tokens: f64,
    filled_at: Instant,
}

impl Rate {
    /// Creates a bucket that contains `tokens`.
    pub fn new(now: Instant, tokens: f64) -> Self {
        Self {
            tokens,
            filled_at: now,
        }
    }

    /// Takes a token from the bucket, which is refilled at `per_second` up to `burst` tokens.
    /// Returns false if there is none.
    pub fn take(&mut self, now: Instant, per_second: f64, burst: f64) -> bool {
        self.refill(now, per_second, burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tells whether the bucket has a token, after the same refill as in [`Self::take`].
    pub fn has_token(&mut self, now: Instant, per_second: f64, burst: f64) -> bool {
        self.refill(now, per_second, burst);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Instant, per_second: f64, burst: f64) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * per_second).min(burst);
        self.filled_at = now;
    }
}
