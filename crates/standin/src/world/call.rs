//! Requests of callers and their results.

use ragwortrill_core::{
    key::Digest,
    name,
    request::{self, Refusal},
    time::Instant,
};

/// Result of a request as its caller sees it.
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
    /// Service that the request is for.
    pub service: name::Service,
    /// Hash of its key.
    pub key: Digest,
    /// Identifier, the same in all attempts.
    pub request: request::Id,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// True if it crashes each target that runs it.
    pub poison: bool,
    /// Time of the first attempt.
    pub first_sent: Instant,
    /// Latest result that the caller received, with its time.
    pub answer: Option<(Instant, Answer)>,
    /// Times and targets of its runs.
    pub runs: Vec<(Instant, usize)>,
    /// Number of times that the caller sent it.
    pub attempts: u32,
}

impl Call {
    /// Returns whether the target answered.
    pub fn is_served(&self) -> bool {
        matches!(self.answer, Some((_, Answer::Status(_))))
    }

    /// Returns whether the caller cannot know if the request ran.
    pub fn is_unknown(&self) -> bool {
        match self.answer {
            Some((_, Answer::Broken)) => true,
            Some((_, Answer::Refused(refusal))) => refusal.run() == request::Run::Unknown,
            _ => false,
        }
    }
}
