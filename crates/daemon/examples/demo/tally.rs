//! What callers received.

use std::{collections::BTreeSet, time::Duration};

use hdrhistogram::Histogram;
use ragwortrill_core::request;
use serde::Deserialize;

use crate::harness::Reply;

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Counters and times of callers.
pub struct Tally {
    /// Requests sent through daemons.
    pub requests: u64,
    /// Requests that got their own and whole answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers that broke off, or were not the answer to their request.
    pub cut: u64,
    /// Identifiers of all orders.
    pub orders: BTreeSet<request::Id>,
    /// Times of all answered requests.
    pub times: Histogram<u64>,
    /// Times of lookups through daemons.
    pub lookups: Histogram<u64>,
    /// Times of lookups sent to a target directly.
    pub direct: Histogram<u64>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With its own and whole answer.
    Answered,
    /// Not run.
    Refused,
    /// Perhaps run.
    Unknown,
    /// With an answer that is not whole or not its own.
    Cut,
}

/// The part of a problem document that callers need.
#[derive(Deserialize)]
struct Problem {
    run: request::Run,
}

impl End {
    /// Classifies a reply. `is_own` tells whether the body is the answer to the request.
    pub fn of(reply: &Reply, is_own: impl FnOnce(&Reply) -> bool) -> Self {
        match reply.status {
            0 => Self::Unknown,
            _ if !reply.complete => Self::Cut,
            200..=299 if is_own(reply) => Self::Answered,
            200..=299 => Self::Cut,
            _ => match serde_json::from_slice(&reply.body) {
                Ok(Problem { run }) => run.into(),
                Err(_) if reply.body.starts_with(b"not run") => Self::Refused,
                Err(_) => Self::Unknown,
            },
        }
    }
}

impl From<request::Run> for End {
    fn from(run: request::Run) -> Self {
        match run {
            request::Run::NotRun => Self::Refused,
            request::Run::Ran => Self::Answered,
            request::Run::Unknown => Self::Unknown,
        }
    }
}

impl Tally {
    /// Starts at zero.
    pub fn new() -> Self {
        let times = || Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
        Self {
            requests: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            cut: 0,
            orders: BTreeSet::new(),
            times: times(),
            lookups: times(),
            direct: times(),
        }
    }

    /// Counts a request through a daemon.
    pub fn count(&mut self, end: End, time: Duration) {
        self.requests += 1;
        match end {
            End::Answered => {
                self.answered += 1;
                record(&mut self.times, time);
            }
            End::Refused => self.refused += 1,
            End::Unknown => self.unknown += 1,
            End::Cut => self.cut += 1,
        }
    }

    /// Adds another caller's counters.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.orders.extend(other.orders);
        self.times += other.times;
        self.lookups += other.lookups;
        self.direct += other.direct;
    }
}

/// Notes a time.
pub fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}
