//! Load reports of a target, used as a hint of limited weight.

use crate::time::{Instant, Span};

/// Age from which a report is ignored.
const MAX_REPORT_AGE: Span = Span::from_secs(3);
/// Maximum trust in a target's reports.
const MAX_TRUST: u32 = 8;
/// Trust lost by a report that contradicts the holder's observations. A report that agrees with
/// them gains 1.
const TRUST_LOSS: u32 = 2;
/// A report of less than this load states that the target is idle; one of more than 100 minus this
/// states that it is busy.
const IDLE_PERCENT: u32 = 40;
/// Observed latency, in per cent of the reference, above which the target is not idle.
const BUSY_LATENCY_PERCENT: u64 = 200;
/// Observed latency, in per cent of the reference, below which the target is not busy.
const IDLE_LATENCY_PERCENT: u64 = 120;

/// Load of a target as it reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Load in per cent of the target's slots.
    pub load_percent: u32,
    /// Start identifier, which changes when the target restarts.
    pub start_id: u64,
}

/// Latest load report of a target and the trust in its reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hint {
    load_percent: u32,
    reported_at: Option<Instant>,
    trust: u32,
}

impl Default for Hint {
    fn default() -> Self {
        Self {
            load_percent: 0,
            reported_at: None,
            trust: MAX_TRUST / 2,
        }
    }
}

impl Hint {
    /// Records a report. `latency_percent` is the observed latency relative to the reference.
    pub fn record(&mut self, now: Instant, report: &LoadReport, latency_percent: Option<u64>) {
        self.load_percent = report.load_percent.min(100);
        self.reported_at = Some(now);
        match latency_percent {
            Some(percent) if self.contradicts(percent) => {
                self.trust = self.trust.saturating_sub(TRUST_LOSS);
            }
            Some(_) => self.trust = (self.trust + 1).min(MAX_TRUST),
            None => {}
        }
    }

    /// Returns the trust in the reports, from 0 to 8.
    pub fn trust(&self) -> u32 {
        self.trust
    }

    /// Returns a factor for the target's cost in per cent, from 75 to 125. It is 100 without a recent
    /// report.
    pub fn factor_percent(&self, now: Instant) -> u64 {
        let fresh = self
            .reported_at
            .is_some_and(|reported_at| now.since(reported_at) < MAX_REPORT_AGE);
        if !fresh {
            return 100;
        }
        let deviation = (i64::from(self.load_percent) - 50) * i64::from(self.trust);
        (100 + deviation / (2 * i64::from(MAX_TRUST))) as u64
    }

    fn contradicts(&self, latency_percent: u64) -> bool {
        let claims_idle = self.load_percent < IDLE_PERCENT;
        let claims_busy = self.load_percent > 100 - IDLE_PERCENT;
        (claims_idle && latency_percent > BUSY_LATENCY_PERCENT)
            || (claims_busy && latency_percent < IDLE_LATENCY_PERCENT)
    }
}
