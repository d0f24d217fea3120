//! What follows from the outcome of one attempt of a request.

use ragwortrill_core::time::Span;

use crate::config::Kind;

/// Least time left for which another attempt is worthwhile.
const MIN_TIME: Span = Span::from_millis(30);

/// Outcome of sending a request to one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A success that is whole and signed.
    Success,
    /// A signed answer that is no success; the target ran the request.
    Failure,
    /// The target states that it did not run the request.
    NotRun,
    /// The target states that it does not hold the request's key, or is another target.
    Misdirected,
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, and no usable answer came.
    Unknown,
}

/// What is left for further attempts.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Attempts that the rule still allows.
    pub attempts: u32,
    /// Whether the retry budget allows one more.
    pub has_budget: bool,
    /// Time until the request's deadline.
    pub time: Span,
}

/// What is done next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The target's answer is delivered.
    Deliver,
    /// The request is sent to another target.
    Retry,
    /// The caller is told that the request has not run.
    Refuse,
    /// The caller is told that the request failed and may have run.
    Fail,
}

/// Decides what follows an outcome.
///
/// `may_have_run` tells whether an earlier attempt ended without a statement of the target.
pub fn decide(kind: Kind, outcome: Outcome, may_have_run: bool, left: Allowance) -> Decision {
    let repeatable = kind.is_idempotent() || !(may_have_run || outcome == Outcome::Unknown);
    let free = outcome == Outcome::NotSent;
    let affordable = left.time >= MIN_TIME && (free || left.has_budget && left.attempts > 0);
    match outcome {
        Outcome::Success => Decision::Deliver,
        Outcome::Failure if kind.is_idempotent() && affordable => Decision::Retry,
        Outcome::Failure => Decision::Deliver,
        _ if repeatable && affordable => Decision::Retry,
        Outcome::Unknown => Decision::Fail,
        _ if may_have_run => Decision::Fail,
        _ => Decision::Refuse,
    }
}
