//! Idle connections to one target.

use ragwortrill_core::time::{Instant, Span};

use crate::connection::Connection;

/// Idle time after which a connection is not used if the target states none.
const DEFAULT_IDLE: Span = Span::from_secs(4);
/// Time before a target's idle timeout at which a connection is not used any more.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// Connections that wait for their next request. The one used last is used first.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Pool {
    /// Takes a connection that the target still keeps open.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Connection> {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.until > now);
        let mut dropped = before - self.idle.len();
        let mut found = None;
        while let Some(idle) = self.idle.pop() {
            if idle.connection.is_quiet() {
                found = Some(idle.connection);
                break;
            }
            dropped += 1;
        }
        self.open = self.open.saturating_sub(dropped as u32);
        found
    }

    /// Gives a connection back, with the idle timeout that the target states.
    pub(crate) fn give(&mut self, now: Instant, connection: Connection, stated: Option<Span>) {
        let timeout = stated.map_or(DEFAULT_IDLE, |stated| stated - IDLE_MARGIN);
        let until = now + timeout;
        self.idle.push(Idle { connection, until });
    }

    /// Notes that a connection is opened.
    pub(crate) fn open(&mut self) {
        self.open += 1;
    }

    /// Notes that a connection ended.
    pub(crate) fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of connections, idle or in use.
    pub(crate) fn count(&self) -> u32 {
        self.open
    }
}
