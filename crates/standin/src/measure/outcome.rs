//! Counts and latencies of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ragwortrill_core::{
    request::Refusal,
    time::{Instant, Span},
};

/// Length of the windows over which goodput and imbalance are computed.
pub const WINDOW: Span = Span::from_secs(5);

/// Counts and latencies of one run of one service.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the simulated service.
    pub service: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub in_time: u64,
    /// Requests that ran and were not answered before their deadline.
    pub late: u64,
    /// Refused requests by reason. None of them ran.
    pub refused: BTreeMap<Refusal, u64>,
    /// Requests whose caller cannot know whether they ran.
    pub unknown: u64,
    /// Non-idempotent requests that were refused although they had started at a target.
    pub false_refusals: u64,
    /// Latency of requests that ran, as the caller sees it, in microseconds.
    pub latency: Histogram<u64>,
    /// Committed moves of slices and keys.
    pub moves: u64,
    /// Minimum number of moves that changes of targets required.
    pub forced_moves: u64,
    /// Number of unavailable keys integrated over time, in key-seconds.
    pub unavailable_key_seconds: f64,
    /// Requests that arrived at a target without a free slot or connection.
    pub slot_breaches: u64,
    /// Requests that a cold target started above its ramp.
    pub ramp_breaches: u64,
    /// Requests that a cold target refused.
    pub shed: u64,
    /// Repeated runs of non-idempotent requests.
    pub double_runs: u64,
    /// Answers that a planned change interrupted.
    pub interrupted: u64,
    /// Requests sent to a target more than 5 s after operators took it out.
    pub sent_after_removal: u64,
    /// Targets crashed by a request.
    pub crashes: u64,
    /// Quarantined fingerprints of requests that crash no target.
    pub wrongly_quarantined: u64,
    /// Second copies sent to reduce latency.
    pub hedges: u64,
    /// Counts by window, in order of time.
    pub windows: Vec<Window>,
}

/// Counts in one window.
#[derive(Clone, Debug)]
pub struct Window {
    /// Number of requests that the targets can serve in the window.
    pub capacity: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub in_time: u64,
    /// Latency of requests that ran, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests by target, for all targets in service.
    pub loads: BTreeMap<usize, u64>,
}

impl Outcome {
    pub(crate) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            requests: 0,
            in_time: 0,
            late: 0,
            refused: BTreeMap::new(),
            unknown: 0,
            false_refusals: 0,
            latency: histogram(),
            moves: 0,
            forced_moves: 0,
            unavailable_key_seconds: 0.0,
            slot_breaches: 0,
            ramp_breaches: 0,
            shed: 0,
            double_runs: 0,
            interrupted: 0,
            sent_after_removal: 0,
            crashes: 0,
            wrongly_quarantined: 0,
            hedges: 0,
            windows: Vec::new(),
        }
    }

    pub(crate) fn window(&mut self, now: Instant, capacity: f64) -> &mut Window {
        let index = (now.0 / WINDOW.0) as usize;
        while self.windows.len() <= index {
            self.windows.push(Window {
                capacity,
                requests: 0,
                in_time: 0,
                latency: histogram(),
                loads: BTreeMap::new(),
            });
        }
        &mut self.windows[index]
    }

    /// Returns the number of refused requests.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns a latency quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the answers in time in per cent of the requests or, if less, of the capacity.
    pub fn goodput_percent(&self) -> f64 {
        let possible: f64 = self
            .windows
            .iter()
            .map(|w| w.capacity.min(w.requests as f64))
            .sum();
        self.in_time as f64 * 100.0 / possible.max(1.0)
    }

    /// Returns the goodput relative to the capacity in per cent, over the windows in which requests
    /// exceed one and a half times the capacity, or `None` without such windows.
    pub fn overloaded_goodput_percent(&self) -> Option<f64> {
        let over = |w: &&Window| w.requests as f64 > 1.5 * w.capacity;
        let (good, capacity) = self.windows.iter().filter(over).fold((0.0, 0.0), |sum, w| {
            (sum.0 + w.in_time as f64, sum.1 + w.capacity)
        });
        (capacity > 0.0).then(|| good * 100.0 / capacity)
    }

    /// Returns the ratio of the highest target's load to the mean load, averaged over all windows.
    pub fn imbalance(&self) -> f64 {
        let ratio = |window: &Window| {
            let most = window.loads.values().max().copied()?;
            let total: u64 = window.loads.values().sum();
            Some(most as f64 * window.loads.len() as f64 / total.max(1) as f64)
        };
        let full = self.windows.iter().filter(|window| window.requests > 0);
        let ratios: Vec<f64> = full.filter_map(ratio).collect();
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 600_000_000, 3).expect("are valid bounds");
    histogram.auto(false);
    histogram
}
