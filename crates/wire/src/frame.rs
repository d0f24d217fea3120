//! Frames between daemons.

use std::fmt;

use ragwortrill_core::{
    event::{Head, Message},
    name,
    number::Offset,
    process::Process,
    record::Entry,
    request,
    time::{Instant, Span},
};
use serde::{Deserialize, Serialize};

use crate::proof::Proof;

/// Largest part of a body in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Largest part of the shared state in one frame, in bytes.
pub const MAX_STATE_PART_BYTES: usize = 48 * 1024;

/// Bytes of a body that may be sent before the receiver grants credit.
pub const INITIAL_CREDIT_BYTES: u32 = 64 * 1024;

/// Credit that the smallest chunk costs, in bytes. It bounds the number of chunks on their way.
const MIN_CHUNK_COST_BYTES: usize = 1024;

/// Returns the credit that the chunks of a part of a body cost, in bytes.
pub fn credit_cost(bytes: usize) -> u32 {
    let whole = bytes / MAX_CHUNK_BYTES * MAX_CHUNK_BYTES;
    let rest = match bytes - whole {
        0 => 0,
        rest => rest.max(MIN_CHUNK_COST_BYTES),
    };
    (whole + rest) as u32
}

/// Number of a request on a link, chosen by the side that opened the link.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Stream(pub u64);

/// A message between two daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Second frame in each direction: proves that the sender knows the shared secret.
    Proof(Proof),
    /// The link is refused. It is the last frame.
    Reject(Reject),
    /// Heartbeats, promises and requests for records.
    Control(Message),
    /// Records that the receiver asked for.
    Records(Records),
    /// Asks for the shared state.
    #[serde(rename = "Ask")]
    StateRequest,
    /// Part of the shared state that the receiver asked for.
    State(State),
    /// A forwarded request.
    Request(Box<Request>),
    /// The request is routed here for good; the rest of its body may follow.
    Accept(Stream),
    /// Head of an answer.
    #[serde(rename = "Answer")]
    Response(Response),
    /// Part of a body.
    Chunk {
        /// The request.
        stream: Stream,
        /// The part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// True if the body is complete.
        last: bool,
    },
    /// Lets the receiver of this frame send more of a body.
    Credit {
        /// The request.
        stream: Stream,
        /// Number of bytes.
        bytes: u32,
    },
    /// Ends a request early.
    Abort {
        /// The request.
        stream: Stream,
        /// Why.
        cause: Cause,
    },
    /// The request is not answered by its target.
    Refusal(Refusal),
    /// Asks what the receiver knows of a request. It sends an answer.
    #[serde(rename = "Inquiry")]
    Lookup(Lookup),
}

/// A question about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// Number of the question on the link.
    pub stream: Stream,
    /// Service that the request asked.
    pub service: name::Service,
    /// The request.
    pub request: request::Id,
    /// Hash of the name of the caller who asks.
    pub caller: u64,
}

/// Introduces a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Version of the frames.
    pub version: u16,
    /// The sender.
    pub process: Process,
    /// Data centre of the sender.
    pub data_centre: name::DataCentre,
    /// Offset that the sender has read.
    pub offset: Offset,
    /// Hash of the records that the sender has read.
    pub hash: u64,
    /// Random number that the receiver's proof includes.
    pub nonce: u128,
}

/// Why a link is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reject {
    /// The proof does not match the shared secret.
    Proof,
    /// The log names another process for the sender's host.
    Process,
    /// The receiver does not speak the version of the frames.
    Version,
}

/// Records for a peer that can't read the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Records {
    /// Time in the question, on the asker's clock.
    pub sent: Instant,
    /// Age of the sender's latest log proof.
    pub age: Option<Span>,
    /// Offset that the sender has read.
    pub end: Offset,
    /// The records, in order.
    pub rows: Vec<(Offset, Entry)>,
}

/// Part of the shared state at an offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Offset of the last record in the state.
    pub at: Offset,
    /// Hash of the state.
    pub hash: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The encoded part.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A header of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Its number on the link.
    pub stream: Stream,
    /// What decisions need to know.
    pub head: Head,
    /// Time left until the deadline.
    pub remaining: Span,
    /// Offset up to which the sender has read.
    pub offset: Offset,
    /// HTTP method.
    pub method: String,
    /// Path and query towards the target.
    pub path: String,
    /// Headers towards the target.
    pub headers: Vec<Header>,
    /// First part of the body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// True if more of the body follows once the request is accepted.
    pub more: bool,
}

/// Head of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// The request.
    pub stream: Stream,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

/// Why a request ended early.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cause {
    /// The caller went away.
    Gone,
    /// The target's connection broke.
    Broken,
}

/// A refusal of a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The request.
    pub stream: Stream,
    /// Why.
    pub refusal: request::Refusal,
    /// When a retry may help.
    pub retry_after: Option<Span>,
    /// Offset that the sender has read.
    pub offset: Offset,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
