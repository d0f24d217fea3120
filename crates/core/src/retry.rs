//! Limits on retries, so that they do not add to an overload.

/// Cost of a retry in the unit of the bucket: hundredths of a retry.
const TOKENS_PER_RETRY: u64 = 100;

/// Token bucket that allows retries up to a percentage of requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Budget {
    percent: u64,
    max_tokens: u64,
    tokens: u64,
}

impl Budget {
    /// Creates an empty bucket that allows `percent` retries in 100 requests and keeps at most
    /// `burst` unused ones.
    pub fn new(percent: u32, burst: u32) -> Self {
        Self {
            percent: u64::from(percent),
            max_tokens: u64::from(burst) * TOKENS_PER_RETRY,
            tokens: 0,
        }
    }

    /// Fills the bucket.
    #[must_use]
    pub fn filled(mut self) -> Self {
        self.tokens = self.max_tokens;
        self
    }

    /// Notes a request that is not a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.percent).min(self.max_tokens);
    }

    /// Takes one retry from the bucket. Returns false if there is none.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens.checked_sub(TOKENS_PER_RETRY);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}
