use std::{collections::VecDeque, time::Instant};

use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Load;

/// Number of changes of the load that are kept.
const MAX_CHANGES: usize = 10_000;

/// Earlier loads of a target, for reports that lag.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Instant, Load)>);

impl History {
    pub(crate) fn note(&mut self, now: Instant, load: Load) {
        self.0.push_back((now, load));
        let surplus = self.0.len().saturating_sub(MAX_CHANGES);
        self.0.drain(..surplus);
    }

    /// Returns the load as it was `lag` ago. The oldest one kept counts as older than any lag.
    pub(crate) fn at(&self, now: Instant, lag: Span) -> Option<Load> {
        let lag = lag.as_duration();
        let is_old = |noted: &Instant| now.saturating_duration_since(*noted) >= lag;
        let old = self.0.iter().rev().find(|(noted, _)| is_old(noted));
        old.or(self.0.front()).map(|row| row.1)
    }
}
