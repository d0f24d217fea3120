//! Limits on the rate of slice moves.

use std::collections::BTreeMap;

use crate::{
    name,
    time::{Instant, Span},
};

/// One move in the unit of the bucket.
const TOKENS_PER_MOVE: u64 = 60_000_000;
/// Moves that may come at once, as a share of a minute's moves.
const BURSTS_PER_MINUTE: u64 = 6;
/// Time in which a receiver gets used to the load that it received.
const SETTLING_TIME: Span = Span::from_secs(10);

/// Rate of moves of one service and the load that each receiver got lately.
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
        let most = (self.per_minute / BURSTS_PER_MINUTE).max(1) * TOKENS_PER_MOVE;
        let gained = now
            .since(self.last_refill)
            .0
            .saturating_mul(self.per_minute);
        self.tokens = self.tokens.saturating_add(gained).min(most);
        self.last_refill = now;
    }

    pub(crate) fn has_move(&self) -> bool {
        self.tokens >= TOKENS_PER_MOVE
    }

    pub(crate) fn take_move(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKENS_PER_MOVE);
    }

    /// Returns the load that a target received and is not used to yet.
    pub(crate) fn unsettled_load(&self, now: Instant, target: &name::Target) -> u64 {
        let Some((at, load)) = self.received.get(target) else {
            return 0;
        };
        let left = SETTLING_TIME - now.since(*at);
        load * left.0 / SETTLING_TIME.0
    }

    pub(crate) fn record_received(&mut self, now: Instant, target: &name::Target, load: u64) {
        let load = self.unsettled_load(now, target) + load;
        self.received.insert(target.clone(), (now, load));
    }
}
