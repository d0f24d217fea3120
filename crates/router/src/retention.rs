//! How long the state of a target's incarnation is kept without an entry of it.

use ragwortrill_core::time::{Instant, Span};

/// Time for which the state outlasts the entry: one that comes back after an outage of the store is
/// not one of a new start.
pub const UNLISTED_TTL: Span = Span::from_secs(120);

/// How long an incarnation has had no entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retention {
    unlisted_since: Option<Instant>,
}

impl Retention {
    /// Records whether the incarnation has an entry now. Returns whether its state is kept.
    pub fn record(&mut self, now: Instant, is_listed: bool) -> bool {
        if is_listed {
            self.unlisted_since = None;
            return true;
        }
        let since = *self.unlisted_since.get_or_insert(now);
        now.since(since) < UNLISTED_TTL
    }
}
