//! Estimates of how long a target takes, from the requests that it finished.

use crate::{
    latency::Histogram,
    time::{Instant, Span},
};

/// Weight of a new sample in the mean is one part in this many.
const WEIGHT: u64 = 32;
/// Samples between two computations of the tail, which scans the whole histogram.
const REFRESH: u32 = 16;
/// A gap this many times the mean gap means a stall; shorter ones are chance.
const STALL: u64 = 4;

/// Observed service time of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    mean: Span,
    tail: Span,
    samples: u32,
    histogram: Histogram,
    progress: Instant,
}

impl Estimate {
    /// Adds the service time of a finished request.
    pub(crate) fn record(&mut self, now: Instant, service: Span) {
        self.mean = match self.samples {
            0 => service,
            _ => Span((self.mean.0 * (WEIGHT - 1) + service.0) / WEIGHT),
        };
        self.histogram.record(service);
        if self.samples.is_multiple_of(REFRESH) {
            self.tail = self.histogram.quantile(990).unwrap_or_default();
        }
        self.samples = self.samples.wrapping_add(1).max(1);
        self.progress = now;
    }

    /// Notes that the target got work while it was idle.
    pub(crate) fn wake(&mut self, now: Instant) {
        self.progress = now;
    }

    /// Returns the time between two finished requests when `slots` of them run.
    pub(crate) fn gap(&self, now: Instant, slots: u32) -> Span {
        let stall = Span(now.since(self.progress).0 / STALL);
        self.usual_gap(slots).max(stall)
    }

    /// Returns the time between two finished requests of a target that does not stall.
    pub(crate) fn usual_gap(&self, slots: u32) -> Span {
        Span(self.mean.0 / u64::from(slots.max(1)))
    }

    /// Returns the time that a request may need once it runs, out of `budget` in all.
    ///
    /// At most half of the budget, so that a slow target still gets requests to be measured by.
    pub(crate) fn allowance(&self, budget: Span) -> Span {
        self.tail.min(Span(budget.0 / 2))
    }

    /// Returns the mean service time, or zero without samples.
    pub(crate) fn mean(&self) -> Span {
        self.mean
    }
}
