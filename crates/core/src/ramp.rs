//! Slow start: the number of requests that may run on a target after it started cold.

use crate::time::{Instant, Span};

/// The limit is counted in thousandths of a slot.
const UNITS_PER_SLOT: u64 = 1_000;
/// Thousandths of a slot that one answer adds to the limit.
const UNITS_PER_ANSWER: u64 = 100;

/// Concurrency limit of one target. It grows with each answer, but no faster than linearly over the
/// slow start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ramp {
    slots: u32,
    span: Span,
    start: Instant,
    base: u64,
    earned: u64,
    capped: bool,
}

impl Ramp {
    /// Creates the ramp of a target that starts cold at `now` and is warm after `span`.
    pub fn new(now: Instant, slots: u32, span: Span) -> Self {
        Self {
            slots: slots.max(1),
            span,
            start: now,
            base: UNITS_PER_SLOT,
            earned: UNITS_PER_SLOT,
            capped: false,
        }
    }

    /// Applies a changed number of slots and slow-start time. A ramp that was complete stays so.
    pub fn configure(&mut self, slots: u32, span: Span) {
        let complete = self.is_complete();
        self.slots = slots.max(1);
        self.span = span;
        if complete {
            self.complete();
        }
    }

    /// Restarts the ramp at one slot.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(now, self.slots, self.span);
    }

    /// Sets the limit to all slots, for a target that is known to be warm.
    pub fn complete(&mut self) {
        self.base = self.max_limit();
        self.earned = self.base;
        self.capped = false;
    }

    /// Records an answer, which raises the limit.
    pub fn record_answer(&mut self, now: Instant) {
        self.earned = (self.earned + UNITS_PER_ANSWER).min(self.time_limit(now));
    }

    /// Records that the target shed a request: halves the limit and restarts the ramp from there.
    pub fn record_shed(&mut self, now: Instant) {
        self.base = (self.earned.min(self.time_limit(now)) / 2).max(UNITS_PER_SLOT);
        self.earned = self.base;
        self.start = now;
    }

    /// Caps the limit at one slot, or removes the cap. The cap applies after a connection broke, until
    /// it is known whether the target restarted.
    pub fn set_capped(&mut self, capped: bool) {
        self.capped = capped;
    }

    /// Returns how many requests may run.
    pub fn limit(&self, now: Instant) -> u32 {
        match self.capped {
            true => 1,
            false => (self.earned.min(self.time_limit(now)) / UNITS_PER_SLOT) as u32,
        }
    }

    /// Returns whether the limit has reached all slots.
    pub fn is_complete(&self) -> bool {
        self.earned >= self.max_limit()
    }

    /// Returns the limit that the time since the start of the ramp allows.
    fn time_limit(&self, now: Instant) -> u64 {
        if self.span == Span::ZERO {
            return self.max_limit();
        }
        let elapsed = now.since(self.start).0.min(self.span.0);
        let growth = (self.max_limit() - UNITS_PER_SLOT) * elapsed / self.span.0;
        (self.base + growth).min(self.max_limit())
    }

    fn max_limit(&self) -> u64 {
        u64::from(self.slots) * UNITS_PER_SLOT
    }
}
