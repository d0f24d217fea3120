//! Rate limits that targets state in their answers: the requests per second that all hosts together
//! may send to a target, for as long as its answers state it.

use std::{fmt, str::FromStr};

use crate::time::Instant;

/// Requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Reason why a text is not a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a rate is a finite number of requests per second, 0 or more")]
pub struct InvalidRate;

impl Rate {
    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.trim().parse().map_err(|_| InvalidRate)?;
        let is_valid = number.is_finite() && number >= 0.0;
        is_valid.then_some(Self(number)).ok_or(InvalidRate)
    }
}

/// What a target's answer says about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit; none if the answer states none.
    pub rate: Option<Rate>,
    /// When the request was sent that was answered.
    pub sent_at: Instant,
    /// When the answer was received.
    pub stated_at: Instant,
}

/// The rate limit of one target, as its answers state it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    statement: Option<Statement>,
}

impl Limit {
    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.statement.and_then(|statement| statement.rate)
    }

    /// Records a statement. Returns whether a limit came into force, or the one in force ended.
    ///
    /// An answer without a limit ends it only if its request was sent after the last statement:
    /// answers on different connections may arrive in another order than the target wrote them.
    pub fn record(&mut self, statement: Statement) -> bool {
        let known = self.statement;
        let is_newer = known.is_none_or(|known| match statement.rate {
            Some(_) => statement.stated_at >= known.stated_at,
            None => statement.sent_at >= known.stated_at,
        });
        let was_limited = self.rate().is_some();
        if is_newer && (statement.rate.is_some() || was_limited) {
            self.statement = Some(statement);
        }
        self.rate().is_some() != was_limited
    }
}
