//! Counts and latencies of the callers' requests.

use std::{collections::BTreeSet, time::Duration};

use hdrhistogram::Histogram;
use ragwortrill_core::request;
use serde::Deserialize;

use crate::harness::Reply;

/// Maximum recorded latency. Longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts and latencies of callers.
pub struct Tally {
    /// Requests sent through daemons.
    pub requests: u64,
    /// Requests whose caller got the complete and matching answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers that were cut off or did not match their request.
    pub cut: u64,
    /// Identifiers of all orders.
    pub orders: BTreeSet<request::Id>,
    /// Latencies of all answered requests, in microseconds.
    pub times: Histogram<u64>,
    /// Latencies of lookups through daemons, in microseconds.
    pub lookups: Histogram<u64>,
    /// Latencies of lookups sent directly to a target, in microseconds.
    pub direct: Histogram<u64>,
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller got the complete answer to its request.
    Answered,
    /// The request did not run.
    Refused,
    /// The request may have run.
    Unknown,
    /// The answer was cut off or did not match the request.
    Cut,
}

/// The field of a problem document that callers need.
#[derive(Deserialize)]
struct Problem {
    run: request::Run,
}

impl Outcome {
    /// Classifies a reply. `is_expected` returns whether the body is the answer to the request.
    pub fn of(reply: &Reply, is_expected: impl FnOnce(&Reply) -> bool) -> Self {
        match reply.status {
            0 => Self::Unknown,
            _ if !reply.complete => Self::Cut,
            200..=299 if is_expected(reply) => Self::Answered,
            200..=299 => Self::Cut,
            _ => match serde_json::from_slice(&reply.body) {
                Ok(Problem { run }) => run.into(),
                Err(_) if reply.body.starts_with(b"not run") => Self::Refused,
                Err(_) => Self::Unknown,
            },
        }
    }
}

impl From<request::Run> for Outcome {
    fn from(run: request::Run) -> Self {
        match run {
            request::Run::NotRun => Self::Refused,
            request::Run::Ran => Self::Answered,
            request::Run::Unknown => Self::Unknown,
        }
    }
}

impl Tally {
    /// Creates a tally without requests.
    pub fn new() -> Self {
        let times = || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid");
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

    /// Records a request through a daemon.
    pub fn count(&mut self, outcome: Outcome, time: Duration) {
        self.requests += 1;
        match outcome {
            Outcome::Answered => {
                self.answered += 1;
                record(&mut self.times, time);
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Cut => self.cut += 1,
        }
    }

    /// Adds another caller's counts and latencies.
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

/// Records a latency.
pub fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}
