//! Token bucket.

use crate::time::{Instant, Span};

/// A token bucket that limits events per second and bursts.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
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
        self.tokens = self.tokens(now, per_second, burst);
        self.filled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Tells whether the bucket has a token, after the same refill as in [`Self::take`].
    pub fn has_token(&self, now: Instant, per_second: f64, burst: f64) -> bool {
        self.tokens(now, per_second, burst) >= 1.0
    }

    /// Returns the time until the bucket will have held `count` tokens, those that it holds now
    /// included, after the same refill as in [`Self::take`].
    pub fn time_to(&self, now: Instant, per_second: f64, burst: f64, count: u32) -> Span {
        let missing = (f64::from(count) - self.tokens(now, per_second, burst)).max(0.0);
        Span::from_secs_f64(missing / per_second)
    }

    /// Returns the tokens in the bucket, after the same refill as in [`Self::take`].
    pub fn tokens(&self, now: Instant, per_second: f64, burst: f64) -> f64 {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        (self.tokens + elapsed * per_second).min(burst)
    }
}
