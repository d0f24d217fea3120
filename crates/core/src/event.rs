//! Events that a node reacts to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    health, key,
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
    process::Process,
    record::Entry,
    request::{self, Fingerprint},
    time::{Instant, Span},
};

/// Something that happened to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A read of the log ended.
    Read(Read),
    /// A snapshot of the shared state was read, from the log or from a peer.
    Restore(Box<Ledger>),
    /// A peer sent a message.
    Received {
        /// The peer.
        from: Process,
        /// Its message.
        message: Message,
    },
    /// A request arrived from a caller or a peer.
    Arrive(Arrival),
    /// A request that was started or forwarded ended.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        result: Finish,
    },
    /// The caller of a request went away.
    Disconnected(Ticket),
    /// A probe of a target ended.
    Probed {
        /// The target.
        target: name::Target,
        /// Its answer.
        answer: Probe,
    },
    /// A target answered a grant.
    Granted {
        /// The target.
        target: name::Target,
        /// Epoch of the grant.
        epoch: Epoch,
        /// Whether the target accepted it.
        accepted: bool,
    },
    /// The process was asked to stop.
    Stop,
}

/// Answer to a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The target answered.
    Answered {
        /// Mark that changes when the target restarts.
        start: u64,
        /// Requests that it runs or that wait there, as it says.
        load: u32,
        /// Its own monotonic clock, in milliseconds.
        clock_ms: u64,
    },
    /// No answer came in time.
    Silent,
    /// The connection was refused.
    Unreachable,
}

/// What a holder tells its peers of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReport {
    /// The target.
    pub target: name::Target,
    /// Mark that changes when the target restarts.
    pub start: Option<u64>,
    /// Its state.
    pub state: health::State,
    /// Requests that run or wait there.
    pub in_flight: u32,
    /// Requests that may run there now.
    pub limit: u32,
    /// Median time to an answer, or zero if it is not known.
    pub latency: Span,
    /// Busy time of its requests lately, in microseconds.
    pub load: u64,
    /// What it bears, in per cent of a warm target.
    pub capacity_percent: u32,
}

/// Records that a read of the log returned.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// When the read was sent, less the age of the answer if a peer gave it.
    pub sent: Instant,
    /// Offset of the last record in the log when the read was answered.
    pub end: Offset,
    /// The records, in order.
    pub rows: Vec<(Offset, Entry)>,
}

/// Number that a node's shell gives a request, unique in the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number in this process.
    pub ticket: Ticket,
    /// What the request is.
    pub head: Head,
    /// When its answer is no longer of use.
    pub deadline: Instant,
    /// True if a peer forwarded it; it is then not forwarded again.
    pub forwarded: bool,
    /// Offset up to which this process must have read before it routes the request.
    pub min_offset: Offset,
}

/// What decisions need to know of a request, the same at each daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Identifier for callers and operators.
    pub request: request::Id,
    /// Service that it asks.
    pub service: name::Service,
    /// Hash of its key, if it names one.
    pub key: Option<key::Digest>,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Hash of what makes two requests the same work.
    pub fingerprint: Fingerprint,
    /// Hash of the caller's name, for fairness.
    pub caller: u64,
}

/// How a started or forwarded request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The target answered with this status, and the answer was passed on.
    Answered(u16),
    /// The connection broke after the request was sent and before an answer came.
    Broken,
    /// The answer with this status broke off, or the caller left while it was passed on.
    Cut(u16),
    /// Nothing was sent: the lease had ended, or the connection could not be opened.
    Unsent {
        /// True if the lease had ended.
        lapsed: bool,
    },
    /// The target refused it because of its load, and did not run it.
    Shed,
    /// The daemon that it was forwarded to refused it.
    Refused {
        /// Why.
        refusal: request::Refusal,
        /// Offset that the other daemon had read.
        offset: Offset,
    },
    /// The link broke before the daemon that it was forwarded to answered.
    LinkBroken,
}

/// A message between daemons that concerns control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Shows that the sender lives, and asks for promises.
    Heartbeat {
        /// Sender's clock when it sent the message.
        sent: Instant,
        /// Offset that the sender has read.
        offset: Offset,
        /// Hash of the records that the sender has read.
        hash: u64,
        /// Epochs that the sender holds and names the receiver as standby for.
        epochs: Vec<Epoch>,
        /// Targets that the sender holds.
        reports: Vec<TargetReport>,
    },
    /// Answers a heartbeat.
    Promise {
        /// Time in the heartbeat.
        sent: Instant,
        /// Epochs in the heartbeat.
        asked: Vec<Epoch>,
        /// Epochs that the sender gives no promise for.
        withheld: Vec<Epoch>,
        /// Offset that the sender has read.
        offset: Offset,
    },
    /// Asks for records after an offset.
    Fetch {
        /// Time that the asker sent this.
        sent: Instant,
        /// Offset that the asker has read.
        offset: Offset,
    },
}

/// Address of a daemon's links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The process.
    pub process: Process,
    /// Where it accepts links.
    pub address: SocketAddr,
}

/// Life of a grant, as sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Epoch of the holder.
    pub epoch: Epoch,
    /// Time after `from_ms` from which the target serves nothing.
    pub ttl: Span,
    /// Moment on the target's own clock that its latest answer to a probe showed, in milliseconds.
    pub from_ms: u64,
}
