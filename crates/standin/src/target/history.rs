use std::{collections::VecDeque, time::Instant};

use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Load;

/// Number of load changes kept.
const MAX_CHANGES: usize = 10_000;

/// Past loads of a target, for lagging reports.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Instant, Load)>);

impl History {
    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        self.0.push_back((now, load));
        let surplus = self.0.len().saturating_sub(MAX_CHANGES);
        self.0.drain(..surplus);
    }

    /// Returns the load as it was `lag` ago, or the oldest kept one if none is that old.
    pub(crate) fn at(&self, now: Instant, lag: Span) -> Option<Load> {
        let lag = lag.as_duration();
        let is_old = |recorded: &Instant| now.saturating_duration_since(*recorded) >= lag;
        let old = self.0.iter().rev().find(|(recorded, _)| is_old(recorded));
        old.or(self.0.front()).map(|row| row.1)
    }
}
