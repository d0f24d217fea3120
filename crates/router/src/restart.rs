//! Detection of a target's restart from the connections to it.
//!
//! A target that restarts under its id may answer before its new entry reaches the hosts. A restart
//! ends all connections to the target, so its connections show that it may have restarted, and an
//! answer on an older one shows that it has not.

use ragwortrill_core::time::{Instant, Span};

/// Number of connections that break without an answer in between from which the target may have
/// restarted. A single one is most often an answer that was cut.
const MIN_BREAKS: u32 = 2;
/// Heartbeats after the end of a target within which its entry is removed or replaced: three
/// without a sign of it, and one for the entry of its next incarnation.
const MAX_ENTRY_HEARTBEATS: u64 = 4;

/// Time after a break from which a connection that is still open shows that the target has not ended.
/// A process that ends closes its connections one after the other.
const MIN_SURVIVAL_TIME: Span = Span::from_millis(10);

/// Use of a connection for one request that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Time at which the connection was established.
    pub opened_at: Instant,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the answer was received.
    pub answered_at: Instant,
}

/// Bounds on the time for which a target is suspected.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time as of which the list of targets is up to date with the store.
    pub listed_at: Instant,
    /// Time within which a target that started has written its entry.
    pub heartbeat: Span,
    /// Time for which a target is cold after its start.
    pub cold_start: Span,
}

/// Evidence that one incarnation of a target has ended and another one answers in its place.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// Connections that broke since the last answer that shows the incarnation to be the same.
    breaks: u32,
    first_break: Instant,
    last_break: Instant,
    /// Time of the first answer after the last break.
    answered_at: Option<Instant>,
}

impl Detector {
    /// Records that a connection broke before the answer on it.
    pub fn record_break(&mut self, now: Instant) {
        if self.breaks == 0 {
            self.first_break = now;
        }
        self.breaks = self.breaks.saturating_add(1);
        self.last_break = now;
        self.answered_at = None;
    }

    /// Records that the target refused a connection, so that no process listened at its address.
    pub fn record_refusal(&mut self, now: Instant) {
        self.record_break(now);
        self.breaks = self.breaks.max(MIN_BREAKS);
    }

    /// Records an answer.
    ///
    /// An answer on a connection that is older than the breaks, to a request that was sent after
    /// them, shows that the target has not restarted. One to an earlier request doesn't: the target
    /// may have sent it before it ended.
    pub fn record_answer(&mut self, exchange: Exchange) {
        let is_older = exchange.opened_at < self.first_break;
        if self.breaks < MIN_BREAKS || is_older && exchange.sent_at >= self.last_break {
            *self = Self::default();
        } else if !is_older {
            self.answered_at.get_or_insert(exchange.answered_at);
        }
    }

    /// Ends the suspicion if a connection is still open that was established before the breaks.
    /// `is_open` tells whether there is an open one that was established before a time.
    pub fn check_survival(&mut self, now: Instant, is_open: impl FnOnce(Instant) -> bool) {
        let is_settled = now >= self.last_break + MIN_SURVIVAL_TIME;
        if self.breaks > 0 && is_settled && is_open(self.first_break) {
            *self = Self::default();
        }
    }

    /// Tells whether the target may have restarted, so that it may be cold.
    ///
    /// The suspicion ends when the list of targets shows the same incarnation one heartbeat after
    /// the first answer, since an entry of a new one would be in the store by then. Without a newer
    /// list it ends when a target that started before that answer is warm. A host that sends
    /// nothing to a suspected target gets no answer; for it the suspicion ends when the list shows
    /// the incarnation for longer than its entry would stay if it had ended.
    pub fn is_suspected(&mut self, now: Instant, bounds: &Bounds) -> bool {
        let is_cleared = |answered_at: Instant| {
            bounds.listed_at >= answered_at + bounds.heartbeat
                || now >= answered_at + bounds.cold_start
        };
        let entry_end = self.last_break + bounds.heartbeat.scale(MAX_ENTRY_HEARTBEATS, 1);
        if self.answered_at.is_some_and(is_cleared) || bounds.listed_at >= entry_end {
            *self = Self::default();
        }
        self.breaks >= MIN_BREAKS
    }
}
