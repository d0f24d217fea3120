//! Retry budgets, so that retries do not amplify an overload.

/// Tokens that one retry costs. One token is a hundredth of a retry.
const TOKENS_PER_RETRY: u64 = 100;

/// Token bucket that limits retries to a percentage of requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Budget {
    percent: u64,
    max_tokens: u64,
    tokens: u64,
}

impl Budget {
    /// Creates an empty bucket that allows `percent` retries per 100 requests and holds at most
    /// `burst` unused ones.
    pub fn new(percent: u32, burst: u32) -> Self {
        Self {
            percent: u64::from(percent),
            max_tokens: u64::from(burst) * TOKENS_PER_RETRY,
            tokens: 0,
        }
    }

    /// Returns the bucket filled to its capacity.
    #[must_use]
    pub fn filled(mut self) -> Self {
        self.tokens = self.max_tokens;
        self
    }

    /// Adds the share of a retry that one request earns. Retries earn nothing.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.percent).min(self.max_tokens);
    }

    /// Takes one retry from the bucket. Returns false if the bucket holds less than one.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens.checked_sub(TOKENS_PER_RETRY);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}
