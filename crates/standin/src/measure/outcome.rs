//! What happened in a run, as counted while it ran.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ragwortrill_core::{
    request::Refusal,
    time::{Instant, Span},
};

/// Length of the windows that goodput and imbalance are computed over.
pub const WINDOW: Span = Span::from_secs(5);

/// Counts of one run of one service.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the service.
    pub service: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub in_time: u64,
    /// Requests that ran and were not answered before their deadline.
    pub late: u64,
    /// Refused requests by reason. None of them ran.
    pub refused: BTreeMap<Refusal, u64>,
    /// Requests of which it isn't known whether they ran.
    pub unknown: u64,
    /// Refused requests that had started at a target.
    pub false_refusals: u64,
    /// Latency of requests that ran, as the caller sees it, in microseconds.
    pub latency: Histogram<u64>,
    /// Committed moves of slices and keys.
    pub moves: u64,
    /// Fewest moves that changes of targets forced.
    pub forced: u64,
    /// Keys that could not be served, times seconds.
    pub unavailable: f64,
    /// Requests that arrived at a target without a free slot or connection.
    pub breaches: u64,
    /// Requests that a cold target ran above its ramp.
    pub ramp_breaches: u64,
    /// Requests that a cold target shed.
    pub shed: u64,
    /// Non-idempotent requests that ran again.
    pub double_runs: u64,
    /// Answers that a planned change interrupted.
    pub cut: u64,
    /// Requests sent to a target more than 5 s after operators took it out.
    pub work_after_out: u64,
    /// Targets crashed by a request.
    pub crashes: u64,
    /// Fingerprints barred although their requests crash nothing.
    pub innocents_barred: u64,
    /// Second copies sent.
    pub hedges: u64,
    /// Windows, in order of time.
    pub windows: Vec<Window>,
}

/// Counts in one window.
#[derive(Clone, Debug)]
pub struct Window {
    /// Requests that the targets bear in the window.
    pub capacity: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub in_time: u64,
    /// Latency of requests that ran, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests by target in service.
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
            forced: 0,
            unavailable: 0.0,
            breaches: 0,
            ramp_breaches: 0,
            shed: 0,
            double_runs: 0,
            cut: 0,
            work_after_out: 0,
            crashes: 0,
            innocents_barred: 0,
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

    /// Returns answers in time in per cent of what arrived or, if less, of what targets bear.
    pub fn goodput_percent(&self) -> f64 {
        let possible: f64 = self
            .windows
            .iter()
            .map(|w| w.capacity.min(w.requests as f64))
            .sum();
        self.in_time as f64 * 100.0 / possible.max(1.0)
    }

    /// Returns the goodput in per cent of the capacity over windows with more than the targets
    /// bear, or `None` without such windows.
    pub fn overloaded_goodput_percent(&self) -> Option<f64> {
        let over = |w: &&Window| w.requests as f64 > 1.5 * w.capacity;
        let (good, capacity) = self.windows.iter().filter(over).fold((0.0, 0.0), |sum, w| {
            (sum.0 + w.in_time as f64, sum.1 + w.capacity)
        });
        (capacity > 0.0).then(|| good * 100.0 / capacity)
    }

    /// Returns the mean over all windows of the highest target's load over the mean load.
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
