//! Latency quantiles in a fixed amount of memory.

use crate::time::{Instant, Span};

/// Number of buckets per doubling of the latency. Eight limit the error of a quantile to about 6%.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Logarithm to base 2 of the smallest distinguished latency in microseconds: 64 microseconds.
const MIN_LATENCY_LOG2: u32 = 6;
/// Number of buckets: 24 doublings, up to about 18 minutes.
const BUCKETS: usize = 192;
/// Number of samples at which all counts are halved, so that old samples lose weight.
const MAX_SAMPLES: u32 = 2_048;

/// Histogram of latencies with logarithmic buckets, in which old samples lose weight.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
    last_decay: Instant,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            last_decay: Instant::default(),
        }
    }
}

impl Histogram {
    /// Adds a sample.
    pub fn record(&mut self, latency: Span) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
    }

    /// Halves the weight of all samples once per `half_life`.
    pub fn decay(&mut self, now: Instant, half_life: Span) {
        let halvings = now.since(self.last_decay).0 / half_life.0.max(1);
        if halvings == 0 {
            return;
        }
        self.last_decay = now;
        for _ in 0..halvings.min(16) {
            self.halve();
        }
    }

    /// Returns the latency that `per_mille` of the samples do not exceed, or `None` without samples.
    pub fn quantile(&self, per_mille: u32) -> Option<Span> {
        let rank = (u64::from(self.total) * u64::from(per_mille)).div_ceil(1_000);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank.max(1) {
                return Some(midpoint(index));
            }
        }
        None
    }

    /// Returns the number of samples, after decay.
    pub fn count(&self) -> u32 {
        self.total
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
    }
}

fn bucket(latency: Span) -> usize {
    let micros = latency.0.max(1 << MIN_LATENCY_LOG2);
    let power = micros.ilog2();
    let part = (micros >> (power - BUCKETS_PER_DOUBLING.ilog2())) as u32 % BUCKETS_PER_DOUBLING;
    let index = (power - MIN_LATENCY_LOG2) * BUCKETS_PER_DOUBLING + part;
    (index as usize).min(BUCKETS - 1)
}

fn midpoint(index: usize) -> Span {
    let power = index as u32 / BUCKETS_PER_DOUBLING + MIN_LATENCY_LOG2;
    let width = 1u64 << (power - BUCKETS_PER_DOUBLING.ilog2());
    Span(
        (u64::from(BUCKETS_PER_DOUBLING) + index as u64 % u64::from(BUCKETS_PER_DOUBLING)) * width
            + width / 2,
    )
}
