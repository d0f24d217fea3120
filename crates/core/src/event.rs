//! Events that a node handles.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    health, key,
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
    pause,
    process::Process,
    rate_limit::{self, Rate},
    record::Entry,
    request::{self, Fingerprint},
    time::{Instant, Span},
};

/// Input of a node.
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
        /// Process that sent it.
        from: Process,
        /// Content of the message.
        message: Message,
    },
    /// A request arrived from a caller or a peer.
    Arrive(Arrival),
    /// A dispatched or forwarded request ended.
    Finish {
        /// Request that ended.
        ticket: Ticket,
        /// How it ended.
        result: Finish,
    },
    /// The caller of a request disconnected.
    Disconnected(Ticket),
    /// A probe of a target ended.
    Probed {
        /// Target that was probed.
        target: name::Target,
        /// Result of the probe.
        answer: Probe,
    },
    /// A target's answer stated a rate limit, or stated none after earlier ones did.
    RateStated {
        /// Target that answered.
        target: name::Target,
        /// What the answer says.
        statement: rate_limit::Statement,
    },
    /// A target's answer stated that it leaves.
    LeavingStated {
        /// Target that answered.
        target: name::Target,
        /// Run of the target when the request was sent, if it was known.
        start_id: Option<u64>,
    },
    /// A target's answer stated for how long it wants nothing.
    PauseStated {
        /// Target that answered.
        target: name::Target,
        /// Run of the target when the request was sent, if it was known.
        start_id: Option<u64>,
        /// When the answer was received.
        answered_at: Instant,
        /// Time that it stated.
        time: pause::Time,
    },
    /// A target answered a grant.
    Granted {
        /// Target that answered.
        target: name::Target,
        /// Epoch of the grant.
        epoch: Epoch,
        /// Whether the target accepted it.
        accepted: bool,
    },
    /// The process was asked to stop.
    Stop,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The target answered.
    Answered {
        /// Identifier of the target's run, which changes when the target restarts.
        start_id: u64,
        /// Running and waiting requests that the target reports.
        load: u32,
        /// Its own monotonic clock, in milliseconds.
        clock_ms: u64,
    },
    /// No answer came in time.
    Silent,
    /// The connection was refused.
    Unreachable,
}

/// State and load of a target, which its holder sends to peers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: name::Target,
    /// Identifier of the target's run, or `None` if the target has not answered its holder yet.
    #[serde(rename = "start")]
    pub start_id: Option<u64>,
    /// Health of the target.
    pub state: health::State,
    /// Requests that run or wait there.
    pub in_flight: u32,
    /// Number of requests that may run there now.
    pub limit: u32,
    /// Median latency, or zero if it is not known.
    pub latency: Span,
    /// Recent busy time of its requests, in microseconds.
    pub load: u64,
    /// Capacity, in per cent of a warm target.
    pub capacity_percent: u32,
    /// Rate limit that the target states.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub rate_limit: Option<Rate>,
    /// True if this run of the target has stated that it leaves. Earlier releases neither send nor
    /// read it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Time for which the target still wants nothing. Earlier releases neither send nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paused: Option<Span>,
}

/// Records that a read of the log returned.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// When the read was sent, less the age of the answer if it came from a peer.
    pub sent: Instant,
    /// Offset of the last record in the log when the read was answered.
    pub end: Offset,
    /// The records, in order.
    pub rows: Vec<(Offset, Entry)>,
}

/// Number that the daemon or the simulation assigns to a request, unique in the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The parts of an arriving request that decisions depend on.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the request in this process.
    pub ticket: Ticket,
    /// Parts that are the same at each daemon.
    pub head: Head,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
    /// True if a peer forwarded it; it is then not forwarded again.
    pub forwarded: bool,
    /// Offset up to which this process must have applied the log before it routes the request.
    pub min_offset: Offset,
}

/// The parts of a request that decisions depend on and that are the same at each daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Identifier for callers and operators.
    pub request: request::Id,
    /// Service that the request is for.
    pub service: name::Service,
    /// Hash of its key, if it names one.
    pub key: Option<key::Digest>,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Hash of the parts by which two requests count as the same work.
    pub fingerprint: Fingerprint,
    /// Hash of the caller's name, for fairness.
    pub caller: u64,
}

/// How a dispatched or forwarded request ended.
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
        /// Reason of the refusal.
        refusal: request::Refusal,
        /// Offset that the other daemon had applied.
        offset: Offset,
    },
    /// The link broke before the daemon that it was forwarded to answered.
    LinkBroken,
}

/// A control message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Shows that the sender is alive, and requests promises.
    Heartbeat {
        /// Sender's clock when it sent the message.
        sent: Instant,
        /// Offset that the sender has applied.
        offset: Offset,
        /// Hash of the sender's ledger at that offset.
        hash: u64,
        /// Epochs that the sender holds with the receiver as a standby.
        epochs: Vec<Epoch>,
        /// Reports of the targets that the sender holds.
        reports: Vec<TargetReport>,
        /// True if the sender shuts down, so that it claims no contract. Earlier releases neither
        /// send nor read it.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        stopping: bool,
    },
    /// Answers a heartbeat.
    Promise {
        /// Send time in the heartbeat.
        sent: Instant,
        /// Epochs in the heartbeat.
        #[serde(rename = "asked")]
        requested: Vec<Epoch>,
        /// Epochs that the sender gives no promise for.
        withheld: Vec<Epoch>,
        /// Offset that the sender has applied.
        offset: Offset,
    },
    /// Requests records after an offset.
    Fetch {
        /// Sender's clock when it sent the message.
        sent: Instant,
        /// Offset that the sender has applied.
        offset: Offset,
    },
}

/// A daemon with the address of its links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Identity of the process.
    pub process: Process,
    /// Address on which it accepts links.
    pub address: SocketAddr,
}

/// Permission to serve for a limited time, as sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Epoch of the holder.
    pub epoch: Epoch,
    /// Time after `from_ms` for which the target may serve.
    pub ttl: Span,
    /// Time on the target's own clock in its latest answer to a probe, in milliseconds.
    pub from_ms: u64,
    /// Start identifier of the target in the same answer.
    pub start_id: u64,
}
