//! Load reports of a target, used as a bounded hint.

use crate::time::{Instant, Span};

/// Age at which a report no longer counts.
const MAX_REPORT_AGE: Span = Span::from_secs(3);
/// Highest trust in a target's reports.
const MAX_TRUST: u32 = 8;
/// Trust lost by a report that own observations contradict. Agreement earns 1.
const TRUST_LOSS: u32 = 2;
/// Reports below this load call the target idle; above 100 less this, busy.
const IDLE_PERCENT: u32 = 40;
/// Own latency, in per cent of the reference, from which the target is seen as busy.
const BUSY_LATENCY_PERCENT: u64 = 200;
/// Own latency, in per cent of the reference, up to which the target is seen as idle.
const IDLE_LATENCY_PERCENT: u64 = 120;

/// What a target says about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Load in per cent of what the target bears.
    pub load_percent: u32,
    /// Mark that changes when the target restarts.
    pub start_id: u64,
}

/// The latest report and the trust in it.
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
    /// Notes a report. `latency_percent` is the own observed latency relative to the reference.
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

    /// Returns a factor for the target's cost in per cent, between 75 and 125.
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
