//! Estimates of a target's service time from its finished requests.

use crate::{
    latency::Histogram,
    time::{Instant, Span},
};

/// A new sample has a weight of 1/32 in the mean.
const MEAN_SAMPLES: u64 = 32;
/// A new sample has a weight of 1/1024 in the long mean, which covers about as many samples as the
/// histogram does.
const LONG_MEAN_SAMPLES: u64 = 1_024;
/// Quantile of service times that must fit into the remaining time of a waiting request for it to
/// start. With 990, requests were refused although a slot was free; with the mean service time
/// instead, 3% of the answers were late under overload.
const START_QUANTILE_PER_MILLE: u32 = 900;
/// Number of samples between two computations of the quantiles, which scan the whole histogram.
const REFRESH_SAMPLES: u32 = 16;
/// An interval without completions that exceeds the mean interval this many times counts as a
/// stall. Shorter ones occur by chance.
const STALL_INTERVALS: u64 = 4;

/// Observed service times of one target.
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
        // The long mean starts as a plain average, so that the first sample does not dominate it.
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

    /// Restarts the stall detection when an idle target gets work.
    pub(crate) fn resume(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Returns the estimated time between two completions while `slots` requests run. It grows
    /// during a stall.
    pub(crate) fn interval(&self, now: Instant, slots: u32) -> Span {
        let stall = Span(now.since(self.last_progress).0 / STALL_INTERVALS);
        self.mean_interval(slots).max(stall)
    }

    /// Returns the mean time between two completions, without regard to a stall.
    pub(crate) fn mean_interval(&self, slots: u32) -> Span {
        Span(self.mean.0 / u64::from(slots.max(1)))
    }

    /// Returns the service time that must remain after the wait for a request to be queued.
    ///
    /// At most half of `budget`, so that a slow target still gets requests to be measured by.
    pub(crate) fn queue_allowance(&self, budget: Span) -> Span {
        self.scale_to_recent(self.queue_quantile)
            .min(Span(budget.0 / 2))
    }

    /// Returns the time that a waiting request must have left before its deadline to be started.
    pub(crate) fn start_allowance(&self, budget: Span) -> Span {
        self.scale_to_recent(self.start_quantile)
            .min(Span(budget.0 / 2))
    }

    /// Scales a quantile up by the ratio of the recent mean to the long mean if the target has
    /// become slower.
    fn scale_to_recent(&self, quantile: Span) -> Span {
        match self.mean > self.long_mean {
            true => quantile.scale(self.mean.0, self.long_mean.0.max(1)),
            false => quantile,
        }
    }

    /// Returns the recent mean service time, or zero without samples.
    pub(crate) fn mean(&self) -> Span {
        self.mean
    }
}

fn average(mean: Span, sample: Span, weight: u64) -> Span {
    Span((mean.0 * (weight - 1) + sample.0) / weight)
}
