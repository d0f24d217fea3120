//! How late the event loop of a host is.
//!
//! A task sleeps for a short time and takes how much later it runs. All other tasks are as late, and
//! what they find may have happened as long before.

use std::{cell::Cell, rc::Rc};

use ragwortrill_core::time::{Instant, Span};
use tokio::time::sleep;

use crate::shared::Shared;

/// Interval at which the lag is measured.
pub const INTERVAL: Span = Span::from_millis(50);
/// Time for which the largest lag counts as recent.
const RECENT_TIME: Span = Span::from_millis(2_000);
/// Lag from which it is logged.
const LOG_THRESHOLD: Span = Span::from_millis(250);
/// Shortest interval between two log lines on the lag.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Lag of an event loop.
#[derive(Debug)]
pub struct Lag {
    /// When the next measurement is due.
    due: Cell<Instant>,
    /// Lag at the last measurement.
    last: Cell<Span>,
    /// Largest lag that counts as recent.
    peak: Cell<Peak>,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    lag: Span,
    at: Instant,
}

impl Lag {
    /// Starts measuring.
    pub fn new(now: Instant) -> Self {
        Self {
            due: Cell::new(now + INTERVAL),
            last: Cell::new(Span::ZERO),
            peak: Cell::new(Peak {
                lag: Span::ZERO,
                at: now,
            }),
        }
    }

    /// Records a measurement at the time at which it is made.
    pub fn record(&self, now: Instant) {
        let lag = now.since(self.due.get());
        self.last.set(lag);
        self.due.set(now + INTERVAL);
        let peak = self.peak.get();
        if lag >= peak.lag || !is_recent(peak, now) {
            self.peak.set(Peak { lag, at: now });
        }
    }

    /// Returns how late the event loop is. A measurement that is overdue counts too, so the first
    /// task that runs after a pause already sees it.
    pub fn current(&self, now: Instant) -> Span {
        self.last.get().max(now.since(self.due.get()))
    }

    /// Returns the largest lag of the recent past.
    pub fn recent(&self, now: Instant) -> Span {
        let peak = Some(self.peak.get()).filter(|peak| is_recent(*peak, now));
        let current = self.current(now);
        peak.map_or(current, |peak| peak.lag.max(current))
    }
}

fn is_recent(peak: Peak, now: Instant) -> bool {
    now.since(peak.at) < RECENT_TIME
}

/// Measures the lag for as long as the host runs, and logs it while it is high.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut logged_at = None;
    // Largest lag since the last log line.
    let mut lag = Span::ZERO;
    loop {
        sleep(INTERVAL.as_duration()).await;
        let now = shared.now();
        shared.lag.record(now);
        lag = lag.max(shared.lag.current(now));
        let is_due = logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if lag >= LOG_THRESHOLD && is_due {
            logged_at = Some(now);
            log::warn!(
                lag_ms = lag.as_millis(), is_leading = shared.is_leading.get(),
                requests = shared.active_requests.len();
                "event loop is late"
            );
            lag = Span::ZERO;
        }
    }
}
