//! Actions of a node, carried out by the daemon or the simulation that runs it.

use std::net::SocketAddr;

use crate::{
    event::{Endpoint, Grant, Message, Ticket},
    name,
    number::{Epoch, Offset},
    record::Entry,
    request::{self, Refusal},
    time::{Instant, Span},
};

/// Output of a node, which the daemon or the simulation that runs it carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append an entry to the log, with retries until a read returns it.
    Append(Entry),
    /// Send a message to a peer.
    Send {
        /// Process to send it to.
        to: Endpoint,
        /// Content of the message.
        message: Message,
    },
    /// Probe the health of a target.
    Probe {
        /// Name of the target.
        target: name::Target,
        /// Its address.
        address: SocketAddr,
    },
    /// Grant a target the right to serve.
    Grant {
        /// Name of the target.
        target: name::Target,
        /// Its address.
        address: SocketAddr,
        /// Epoch and duration of the grant.
        grant: Grant,
    },
    /// Send a request to a target.
    Dispatch(Dispatch),
    /// Forward a request to the daemon that holds its target.
    Forward {
        /// Request to forward.
        ticket: Ticket,
        /// Daemon that holds the target.
        to: Endpoint,
        /// Time after which the caller no longer needs the response.
        deadline: Instant,
    },
    /// Answer a request with a refusal.
    Refuse {
        /// Request to refuse.
        ticket: Ticket,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Time after which a retry may succeed.
        retry_after: Option<Span>,
        /// Offset that this daemon has applied.
        offset: Offset,
    },
    /// Answer a repeated request with the stored response to the first.
    Replay {
        /// The repeated request.
        ticket: Ticket,
        /// Identifier of both.
        request: request::Id,
        /// HTTP status of the response.
        status: u16,
    },
    /// Cancel a request at its target or at the daemon that it was forwarded to.
    Cancel(Ticket),
    /// Report not ready, so that the platform's load balancer sends no new requests.
    Unready,
    /// End the process: no request is left, and contracts are released or end with their lease.
    Exit,
}

/// A request to send to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Number of the request in this process.
    pub ticket: Ticket,
    /// Name of the target.
    pub target: name::Target,
    /// Its address.
    pub address: SocketAddr,
    /// Epoch to send with the request.
    pub epoch: Epoch,
    /// End of the lease. The daemon or the simulation checks it right before it sends.
    pub lease_end: Instant,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Whether the target states a rate limit, so that an answer without one is reported too.
    pub is_limited: bool,
    /// Start identifier of the target's current run, once a probe was answered.
    pub start_id: Option<u64>,
}
