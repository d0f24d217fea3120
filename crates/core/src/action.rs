//! Actions that a node asks its shell for.

use std::net::SocketAddr;

use crate::{
    event::{Endpoint, Grant, Message, Ticket},
    name,
    number::{Epoch, Offset},
    record::Entry,
    request::{self, Refusal},
    time::{Instant, Span},
};

/// Something that the shell does for a node.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append an entry to the log, again and again until a read returns it.
    Append(Entry),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Endpoint,
        /// The message.
        message: Message,
    },
    /// Ask a target for its health.
    Probe {
        /// The target.
        target: name::Target,
        /// Its address.
        address: SocketAddr,
    },
    /// Grant a target the right to serve.
    Grant {
        /// The target.
        target: name::Target,
        /// Its address.
        address: SocketAddr,
        /// The grant.
        grant: Grant,
    },
    /// Send a request to a target.
    Dispatch(Dispatch),
    /// Forward a request to the daemon that holds its target.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The daemon.
        to: Endpoint,
        /// When the answer is no longer of use.
        deadline: Instant,
    },
    /// Answer a request with a refusal.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
        /// When a retry may help.
        retry_after: Option<Span>,
        /// Offset that this daemon has read.
        offset: Offset,
    },
    /// Answer a repeated request with the kept answer of the first.
    Replay {
        /// The repeated request.
        ticket: Ticket,
        /// Identifier of both.
        request: request::Id,
        /// HTTP status of the answer.
        status: u16,
    },
    /// Cancel a request at its target or at the daemon that it was forwarded to.
    Cancel(Ticket),
    /// Tell the platform's load balancer to send no new requests.
    Unready,
    /// End the process: nothing is held or running any more.
    Exit,
}

/// Order to send a request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// The target.
    pub target: name::Target,
    /// Its address.
    pub address: SocketAddr,
    /// Epoch to send with the request.
    pub epoch: Epoch,
    /// End of the lease. The shell checks it right before it sends.
    pub lease_end: Instant,
    /// When the answer is no longer of use.
    pub deadline: Instant,
}
