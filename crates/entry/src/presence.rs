//! Whether the caller of a request is still there.

use std::{
    fmt::{self, Debug},
    rc::Rc,
};

use ragwortrill_core::time::{Instant, Span};
use tokio::{net::TcpStream, sync::watch};

use crate::connection;

/// Age of a request from which its caller's socket is looked at before the request is sent. A host
/// that is short of processor time reads the end of a connection late.
const MIN_AGE: Span = Span::from_millis(50);

/// A request's view of its caller.
#[derive(Clone)]
pub(crate) struct Presence {
    stream: Rc<TcpStream>,
    /// Ends when the caller leaves; none for requests whose tasks end with their caller.
    departure: Option<watch::Receiver<()>>,
}

/// Marks the caller as present until it is dropped.
pub(crate) struct Guard(
    #[expect(dead_code, reason = "dropping it closes the channel")] watch::Sender<()>,
);

impl Presence {
    /// Creates the presence of the caller at the other end of a connection.
    pub(crate) fn new(stream: Rc<TcpStream>) -> Self {
        Self {
            stream,
            departure: None,
        }
    }

    /// Returns the presence for a request whose task goes on without its caller, which leaves when
    /// the guard is dropped.
    pub(crate) fn detach(mut self) -> (Self, Guard) {
        let (sender, receiver) = watch::channel(());
        self.departure = Some(receiver);
        (self, Guard(sender))
    }

    /// Waits until the caller has left.
    pub(crate) async fn departed(&self) {
        let Some(mut departure) = self.departure.clone() else {
            return std::future::pending().await;
        };
        while departure.changed().await.is_ok() {}
    }

    /// Returns whether the caller of a request that may have arrived at `received` has left. Asks the
    /// kernel if the request is old enough, since the event loop may not have reported it yet.
    pub(crate) fn has_left(&self, received: Instant, now: Instant) -> bool {
        let is_marked = |departure: &watch::Receiver<()>| departure.has_changed().is_err();
        self.departure.as_ref().is_some_and(is_marked)
            || now.since(received) >= MIN_AGE && connection::is_closed(&self.stream)
    }
}

impl Debug for Presence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Presence").finish_non_exhaustive()
    }
}
