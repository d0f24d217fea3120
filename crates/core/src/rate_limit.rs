//! Rate limits that targets state in their answers: the requests per second that all hosts together
//! may send to a target, for as long as its answers state it.

use std::{fmt, str::FromStr};

use crate::{
    bucket::Bucket,
    time::{Instant, Span},
};

/// Rate at which a target that states a lower one still gets requests, in requests per second: only
/// an answer shows that the limit has ended.
const MIN_RATE: f64 = 0.25;
/// Time for which unused requests of a limit are saved for a burst.
const BURST_TIME: Span = Span::from_millis(250);
/// Time after its last statement at which a limit ends, if no answer renewed it.
const STATEMENT_TTL: Span = Span::from_secs(60);

/// Requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Reason why a text is not a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a rate is a finite number of requests per second, 0 or more")]
pub struct InvalidRate;

impl Rate {
    /// Returns the requests per second, but at least those that show whether the limit has ended.
    pub fn per_second(self) -> f64 {
        self.0.max(MIN_RATE)
    }

    /// Returns the part of each of `hosts` that share the limit equally.
    pub fn part(self, hosts: usize) -> Part {
        let per_second = self.per_second() / hosts.max(1) as f64;
        let burst = (per_second * BURST_TIME.as_secs_f64()).max(1.0);
        Part { per_second, burst }
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

/// One host's part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    per_second: f64,
    /// Requests that may be sent at once.
    burst: f64,
}

/// Where a statement comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// An answer to this host.
    Answer,
    /// A host that reports to this one.
    Report,
    /// The host that this one reports to.
    Relay,
}

/// The rate limit of one target, as its answers state it, and the requests of this host that count
/// towards it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    statement: Option<(Statement, Source)>,
    bucket: Bucket,
}

impl Limit {
    /// Returns the limit in force.
    pub fn rate(&self, now: Instant) -> Option<Rate> {
        self.statement(now).and_then(|statement| statement.rate)
    }

    /// Returns the last statement, unless it is too old to count.
    pub fn statement(&self, now: Instant) -> Option<Statement> {
        let (statement, _) = self.statement?;
        (now.since(statement.stated_at) < STATEMENT_TTL).then_some(statement)
    }

    /// Returns the last statement if this host, or one that reports to it, got it itself.
    pub fn own_statement(&self, now: Instant) -> Option<Statement> {
        let is_own = self
            .statement
            .is_some_and(|(_, source)| source != Source::Relay);
        self.statement(now).filter(|_| is_own)
    }

    /// Returns the time after which this host's part allows `count` more requests.
    pub fn time_to(&self, now: Instant, part: Part, count: u32) -> Span {
        self.bucket.time_to(now, part.per_second, part.burst, count)
    }

    /// Returns how many more requests this host's part allows within a time.
    pub fn allowance(&self, now: Instant, part: Part, time: Span) -> u32 {
        let saved = self.bucket.tokens(now, part.per_second, part.burst);
        (saved + part.per_second * time.as_secs_f64()) as u32
    }

    /// Counts a request that is sent under a part of the limit. Without one, none are saved for a
    /// burst.
    pub fn take(&mut self, now: Instant, part: Option<Part>) {
        match part {
            Some(part) => {
                self.bucket.take(now, part.per_second, part.burst);
            }
            None => self.bucket = Bucket::new(now, 0.0),
        }
    }

    /// Records a statement. Returns whether a limit came into force, or the one in force ended.
    ///
    /// An answer without a limit ends it only if its request was sent after the last statement:
    /// answers on different connections may arrive in another order than the target wrote them.
    pub fn record(&mut self, now: Instant, statement: Statement, source: Source) -> bool {
        let known = self.statement(now);
        let is_newer = known.is_none_or(|known| match statement.rate {
            Some(_) => statement.stated_at > known.stated_at,
            None => statement.sent_at >= known.stated_at,
        });
        let was_limited = self.rate(now).is_some();
        if is_newer && (statement.rate.is_some() || was_limited) {
            self.statement = Some((statement, source));
        }
        self.rate(now).is_some() != was_limited
    }
}
