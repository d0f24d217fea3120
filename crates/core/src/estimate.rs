//! Estimates of how long a target takes, from the requests that it finished.

use crate::{
    latency::Histogram,
    time::{Instant, Span},
};

/// Weight of a new sample in the mean is one part in this many.
const MEAN_SAMPLES: u64 = 32;
/// The same for the mean over as many samples as the histogram remembers.
const LONG_MEAN_SAMPLES: u64 = 1_024;
/// A request that has waited starts if this share of requests would end in its remaining time.
/// At 990, requests that had room were refused; with the mean, overload made 3% late.
const START_QUANTILE_PER_MILLE: u32 = 900;
/// Samples between two computations of the tail, which scans the whole histogram.
const REFRESH_SAMPLES: u32 = 16;
/// A gap this many times the mean gap means a stall; shorter ones are chance.
const STALL_INTERVALS: u64 = 4;

/// Observed service time of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    mean: Span,
    long_mean: Span,
    start_quantile: Span,
    queue_quantile: Span,
    samples: u32,
    histogram: Histogram,
    last_progress: Instant,
}

impl Estimate {
    /// Adds the service time of a finished request.
    pub(crate) fn record(&mut self, now: Instant, service: Span) {
        // The long mean begins as a plain average, so that the first sample does not dominate it.
        let long_weight = u64::from(self.samples + 1).min(LONG_MEAN_SAMPLES);
        self.mean = average(self.mean, service, long_weight.min(MEAN_SAMPLES));
        self.long_mean = average(self.long_mean, service, long_weight);
        self.histogram.record(service);
        if self.samples.is_multiple_of(REFRESH_SAMPLES) {
            self.start_quantile = self
                .histogram
                .quantile(START_QUANTILE_PER_MILLE)
                .unwrap_or_default();
            self.queue_quantile = self.histogram.quantile(990).unwrap_or_default();
        }
        self.samples = self.samples.saturating_add(1);
        self.last_progress = now;
    }

    /// Notes that the target got work while it was idle.
    pub(crate) fn resume(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Returns the time between two finished requests when `slots` of them run.
    pub(crate) fn interval(&self, now: Instant, slots: u32) -> Span {
        let stall = Span(now.since(self.last_progress).0 / STALL_INTERVALS);
        self.mean_interval(slots).max(stall)
    }

    /// Returns the time between two finished requests of a target that does not stall.
    pub(crate) fn mean_interval(&self, slots: u32) -> Span {
        Span(self.mean.0 / u64::from(slots.max(1)))
    }

    /// Returns the time that a request may need once it runs, out of `budget` in all.
    ///
    /// At most half of the budget, so that a slow target still gets requests to be measured by.
    pub(crate) fn queue_allowance(&self, budget: Span) -> Span {
        self.scale_to_recent(self.queue_quantile)
            .min(Span(budget.0 / 2))
    }

    /// Returns the least time that a request which has waited must have left to be worth a slot.
    pub(crate) fn start_allowance(&self, budget: Span) -> Span {
        self.scale_to_recent(self.start_quantile)
            .min(Span(budget.0 / 2))
    }

    /// Lengthens a quantile by how much slower the target is now than over all samples.
    fn scale_to_recent(&self, quantile: Span) -> Span {
        match self.mean > self.long_mean {
            true => quantile.scale(self.mean.0, self.long_mean.0.max(1)),
            false => quantile,
        }
    }

    /// Returns the mean service time, or zero without samples.
    pub(crate) fn mean(&self) -> Span {
        self.mean
    }
}

fn average(mean: Span, sample: Span, weight: u64) -> Span {
    Span((mean.0 * (weight - 1) + sample.0) / weight)
}
