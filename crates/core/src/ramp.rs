//! Slow start: how many requests a target may run after it started cold.

use crate::time::{Instant, Span};

/// The limit is kept in thousandths of a slot.
const SLOT: u64 = 1_000;
/// Thousandths of a slot that one answer earns.
const EARNED: u64 = 100;

/// Concurrency limit of one target. It grows with answers, but no faster than the time ramp.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ramp {
    slots: u32,
    span: Span,
    began: Instant,
    base: u64,
    earned: u64,
    held: bool,
}

impl Ramp {
    /// Creates the ramp of a target that starts cold at `now` and is warm after `span`.
    pub fn new(now: Instant, slots: u32, span: Span) -> Self {
        Self {
            slots: slots.max(1),
            span,
            began: now,
            base: SLOT,
            earned: SLOT,
            held: false,
        }
    }

    /// Applies a changed number of slots and time. A ramp that was complete stays so.
    pub fn configure(&mut self, slots: u32, span: Span) {
        let complete = self.is_complete();
        self.slots = slots.max(1);
        self.span = span;
        if complete {
            self.complete();
        }
    }

    /// Begins again at one slot.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(now, self.slots, self.span);
    }

    /// Sets the limit to all slots: the target is known to be warm.
    pub fn complete(&mut self) {
        self.base = self.most();
        self.earned = self.base;
        self.held = false;
    }

    /// Notes an answer.
    pub fn succeed(&mut self, now: Instant) {
        self.earned = (self.earned + EARNED).min(self.allowed(now));
    }

    /// Notes that the target shed a request: continues from half of the limit.
    pub fn shed(&mut self, now: Instant) {
        self.base = (self.earned.min(self.allowed(now)) / 2).max(SLOT);
        self.earned = self.base;
        self.began = now;
    }

    /// Holds the limit at one slot until it is known whether the target restarted.
    pub fn hold(&mut self, held: bool) {
        self.held = held;
    }

    /// Returns how many requests may run.
    pub fn limit(&self, now: Instant) -> u32 {
        match self.held {
            true => 1,
            false => (self.earned.min(self.allowed(now)) / SLOT) as u32,
        }
    }

    /// Tells whether the limit has reached all slots.
    pub fn is_complete(&self) -> bool {
        self.earned >= self.most()
    }

    /// Returns the limit of the time ramp.
    fn allowed(&self, now: Instant) -> u64 {
        if self.span == Span::ZERO {
            return self.most();
        }
        let elapsed = now.since(self.began).0.min(self.span.0);
        let growth = (self.most() - SLOT) * elapsed / self.span.0;
        (self.base + growth).min(self.most())
    }

    fn most(&self) -> u64 {
        u64::from(self.slots) * SLOT
    }
}
