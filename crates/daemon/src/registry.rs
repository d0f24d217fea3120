//! Requests in this process, and the channels for the node's commands to them.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use ragwortrill_core::{
    action::Dispatch,
    event::{Endpoint, Ticket},
    number::Offset,
    request,
    time::{Instant, Span},
};
use tokio::sync::mpsc;

/// Number of locks that the requests are spread over, so that threads rarely wait for each other.
const SHARDS: usize = 16;

/// Capacity of a request's channel. One decision and a cancellation may wait in it.
const COMMAND_CAPACITY: usize = 4;

/// Command of the node to a request.
#[derive(Debug)]
pub(crate) enum Command {
    Dispatch(Dispatch),
    Forward {
        to: Endpoint,
        deadline: Instant,
    },
    Refuse {
        refusal: request::Refusal,
        retry_after: Option<Span>,
        offset: Offset,
    },
    Replay {
        request: request::Id,
        status: u16,
    },
    Cancel,
}

/// All requests of this process that wait for commands.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    next: AtomicU64,
    shards: [Mutex<BTreeMap<Ticket, mpsc::Sender<Command>>>; SHARDS],
}

impl Registry {
    /// Registers a request and returns its ticket and the receiver of its commands.
    pub(crate) fn open(&self) -> (Ticket, mpsc::Receiver<Command>) {
        let ticket = Ticket(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = mpsc::channel(COMMAND_CAPACITY);
        self.shard(ticket, |shard| shard.insert(ticket, sender));
        (ticket, receiver)
    }

    /// Sends a command to a request. It is dropped if the request has ended or its channel is full.
    pub(crate) fn send(&self, ticket: Ticket, command: Command) {
        let sender = self.shard(ticket, |shard| shard.get(&ticket).cloned());
        if let Some(Err(error)) = sender.map(|sender| sender.try_send(command)) {
            log::debug!(ticket = ticket.0; "a command to a request is dropped: {error}");
        }
    }

    /// Removes a request.
    pub(crate) fn close(&self, ticket: Ticket) {
        self.shard(ticket, |shard| shard.remove(&ticket));
    }

    fn shard<T>(
        &self,
        ticket: Ticket,
        f: impl FnOnce(&mut BTreeMap<Ticket, mpsc::Sender<Command>>) -> T,
    ) -> T {
        let shard = &self.shards[ticket.0 as usize % SHARDS];
        f(&mut shard.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
