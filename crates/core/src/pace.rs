//! Limits on the rate of slice moves.

use std::collections::BTreeMap;

use crate::{
    name,
    time::{Instant, Span},
};

/// One move in the unit of the bucket.
const MOVE: u64 = 60_000_000;
/// Moves that may come at once, as a share of a minute's moves.
const BURST: u64 = 6;
/// Time in which a receiver gets used to the load that it received.
const SETTLE: Span = Span::from_secs(10);

/// Rate of moves of one service and the load that each receiver got lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    per_minute: u64,
    tokens: u64,
    filled: Instant,
    received: BTreeMap<name::Target, (Instant, u64)>,
}

impl Pace {
    pub(crate) fn new(per_minute: u32) -> Self {
        let per_minute = u64::from(per_minute);
        Self {
            per_minute,
            tokens: (per_minute / BURST).max(1) * MOVE,
            ..Self::default()
        }
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let most = (self.per_minute / BURST).max(1) * MOVE;
        let gained = now.since(self.filled).0.saturating_mul(self.per_minute);
        self.tokens = self.tokens.saturating_add(gained).min(most);
        self.filled = now;
    }

    pub(crate) fn has_move(&self) -> bool {
        self.tokens >= MOVE
    }

    pub(crate) fn take_move(&mut self) {
        self.tokens = self.tokens.saturating_sub(MOVE);
    }

    /// Returns the load that a target received and is not used to yet.
    pub(crate) fn unsettled(&self, now: Instant, target: &name::Target) -> u64 {
        let Some((at, load)) = self.received.get(target) else {
            return 0;
        };
        let left = SETTLE - now.since(*at);
        load * left.0 / SETTLE.0
    }

    pub(crate) fn receive(&mut self, now: Instant, target: &name::Target, load: u64) {
        let load = self.unsettled(now, target) + load;
        self.received.insert(target.clone(), (now, load));
    }
}
