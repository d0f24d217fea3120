//! Idle connections to one target.

use ragwortrill_core::time::{Instant, Span};

use crate::connection::Connection;

/// Idle time after which a connection is not reused if the target sends no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);
/// Time before the end of a target's idle timeout from which a connection is not reused.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// Idle connections, of which the most recently used is reused first, and the number of open ones.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

/// A connection that takes one request at a time.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) connection: Connection,
    /// Number that no other connection of this host has.
    pub(crate) number: u64,
    /// When it was established.
    pub(crate) opened_at: Instant,
}

#[derive(Debug)]
struct Idle {
    kept: Kept,
    until: Instant,
}

impl Pool {
    /// Takes an idle connection that the target has not closed and whose number is not in `excluded`.
    pub(crate) fn take(&mut self, now: Instant, excluded: &[u64]) -> Option<Kept> {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.until > now);
        let mut dropped = before - self.idle.len();
        let is_usable = |idle: &Idle| !excluded.contains(&idle.kept.number);
        let mut found = None;
        while let Some(index) = self.idle.iter().rposition(is_usable) {
            let idle = self.idle.remove(index);
            if idle.kept.connection.is_idle() {
                found = Some(idle.kept);
                break;
            }
            dropped += 1;
        }
        self.open = self.open.saturating_sub(dropped as u32);
        found
    }

    /// Closes the idle connection that was not used for the longest time.
    pub(crate) fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
            self.record_close();
        }
    }

    /// Adds an idle connection, with the idle timeout that the target sent.
    pub(crate) fn put(&mut self, now: Instant, kept: Kept, idle_timeout: Option<Span>) {
        let timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout - IDLE_MARGIN
        });
        let until = now + timeout;
        self.idle.push(Idle { kept, until });
    }

    /// Returns whether an idle connection that was established before a time is still open.
    pub(crate) fn is_open_since(&self, at: Instant) -> bool {
        let kept = self.idle.iter().map(|idle| &idle.kept);
        let mut older = kept.filter(|kept| kept.opened_at < at);
        older.any(|kept| kept.connection.is_idle())
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&mut self) {
        let dropped = self.idle.len() as u32;
        self.idle.clear();
        self.open = self.open.saturating_sub(dropped);
    }

    /// Returns whether a connection is being opened or serves a request.
    pub(crate) fn is_in_use(&self) -> bool {
        self.open as usize > self.idle.len()
    }

    /// Counts a connection that is being opened.
    pub(crate) fn record_open(&mut self) {
        self.open += 1;
    }

    /// Counts a closed connection.
    pub(crate) fn record_close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Returns the number of connections, idle or in use.
    pub(crate) fn open_count(&self) -> u32 {
        self.open
    }
}
