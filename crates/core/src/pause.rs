//! Times for which a target wants nothing from this host, as it states them with a refusal.

use std::{fmt, str::FromStr};

use crate::time::{Instant, Span};

/// Time that a refusal states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Time(pub Span);

/// Reason why a text is not a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a time is a finite number of seconds, 0 or more")]
pub struct InvalidTime;

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_secs_f64().fmt(f)
    }
}

impl FromStr for Time {
    type Err = InvalidTime;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let seconds: f64 = text.trim().parse().map_err(|_| InvalidTime)?;
        let is_valid = seconds.is_finite() && seconds >= 0.0;
        let time = Self(Span::from_secs_f64(seconds.max(0.0)));
        is_valid.then_some(time).ok_or(InvalidTime)
    }
}

/// Returns until when a request may wait for the end of a pause, so that it is still served within its
/// budget of time.
pub fn patience(now: Instant, budget: Span) -> Instant {
    now + budget.scale(1, 2)
}

/// Time by which a pause must grow until the requests that wait for its end are judged again. Each
/// refusal of a busy target moves the end a little.
const JUDGE_STEP: Span = Span::from_millis(100);

/// The time until which one target wants nothing from this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Instant,
    /// End for which the requests that wait were judged.
    judged: Instant,
}

/// What a stated time changes about a pause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Whether the pause began.
    pub begins: bool,
    /// Whether requests that wait for its end have to be judged again.
    pub is_longer: bool,
}

impl Pause {
    /// Records a time from an answer on. A longer one replaces a shorter one.
    pub fn record(&mut self, answered_at: Instant, time: Time) -> Change {
        let was_paused = self.left(answered_at).is_some();
        self.until = self.until.max(answered_at + time.0);
        let begins = !was_paused && self.left(answered_at).is_some();
        let is_longer = begins || self.until >= self.judged + JUDGE_STEP && was_paused;
        if is_longer {
            self.judged = self.until;
        }
        Change { begins, is_longer }
    }

    /// Returns the time until the pause ends, or none if there is none.
    pub fn left(&self, now: Instant) -> Option<Span> {
        let left = self.until.since(now);
        (left > Span::ZERO).then_some(left)
    }
}
