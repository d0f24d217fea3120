//! Rate limits of moves: per service, and by load per receiving target.

use std::collections::BTreeMap;

use crate::{
    name,
    time::{Instant, Span},
};

/// Tokens that one move costs. The bucket gains `per_minute` tokens per microsecond.
const TOKENS_PER_MOVE: u64 = 60_000_000;
/// A burst is at most the moves of a minute divided by this number, and at least one move.
const BURSTS_PER_MINUTE: u64 = 6;
/// Time over which received load ceases to count against a receiver, linearly.
const SETTLING_TIME: Span = Span::from_secs(10);

/// Token bucket for the moves of one service, and the load that each target received recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    per_minute: u64,
    tokens: u64,
    last_refill: Instant,
    received: BTreeMap<name::Target, (Instant, u64)>,
}

impl Limiter {
    pub(crate) fn new(per_minute: u32) -> Self {
        let per_minute = u64::from(per_minute);
        Self {
            per_minute,
            tokens: (per_minute / BURSTS_PER_MINUTE).max(1) * TOKENS_PER_MOVE,
            ..Self::default()
        }
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let max_tokens = (self.per_minute / BURSTS_PER_MINUTE).max(1) * TOKENS_PER_MOVE;
        let gained = now
            .since(self.last_refill)
            .0
            .saturating_mul(self.per_minute);
        self.tokens = self.tokens.saturating_add(gained).min(max_tokens);
        self.last_refill = now;
    }

    pub(crate) fn has_move(&self) -> bool {
        self.tokens >= TOKENS_PER_MOVE
    }

    pub(crate) fn take_move(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKENS_PER_MOVE);
    }

    /// Returns the part of the received load that still counts against a target.
    pub(crate) fn unsettled_load(&self, now: Instant, target: &name::Target) -> u64 {
        let Some((at, load)) = self.received.get(target) else {
            return 0;
        };
        let remaining = SETTLING_TIME - now.since(*at);
        load * remaining.0 / SETTLING_TIME.0
    }

    pub(crate) fn record_received(&mut self, now: Instant, target: &name::Target, load: u64) {
        let load = self.unsettled_load(now, target) + load;
        self.received.insert(target.clone(), (now, load));
    }
}
