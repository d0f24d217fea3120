//! Requests of callers and what became of them.

use ragwortrill_core::{
    key::Digest,
    name,
    request::{self, Refusal},
    time::Instant,
};

/// What a caller learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The target answered with this status.
    Status(u16),
    /// The request was refused.
    Refused(Refusal),
    /// The connection to the entry broke.
    Broken,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service that it asks.
    pub service: name::Service,
    /// Hash of its key.
    pub key: Digest,
    /// Identifier, which a repetition shares.
    pub request: request::Id,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// True if it crashes each target that runs it.
    pub poison: bool,
    /// When it was sent first.
    pub asked: Instant,
    /// What the caller learned last, and when.
    pub answer: Option<(Instant, Answer)>,
    /// Moments and targets at which it started to run.
    pub runs: Vec<(Instant, usize)>,
    /// Number of times that it was sent.
    pub sent: u32,
}

impl Call {
    /// Tells whether the target answered.
    pub fn is_served(&self) -> bool {
        matches!(self.answer, Some((_, Answer::Status(_))))
    }

    /// Tells whether the caller does not know if the request ran.
    pub fn is_unknown(&self) -> bool {
        match self.answer {
            Some((_, Answer::Broken)) => true,
            Some((_, Answer::Refused(refusal))) => refusal.run() == request::Run::Unknown,
            _ => false,
        }
    }
}
