//! Frames that daemons exchange over a link.

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

/// Maximum size of the part of a body in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Maximum size of the part of the shared state in one frame, in bytes.
pub const MAX_STATE_PART_BYTES: usize = 48 * 1024;

/// Bytes of a body that may be sent before the receiver grants credit.
pub const INITIAL_CREDIT_BYTES: u32 = 64 * 1024;

/// Minimum credit that a chunk costs, in bytes. It limits how many small chunks can be in flight.
const MIN_CHUNK_COST_BYTES: usize = 1024;

/// Returns the credit that a part of a body costs once it is split into chunks, in bytes.
pub fn credit_cost(bytes: usize) -> u32 {
    let whole = bytes / MAX_CHUNK_BYTES * MAX_CHUNK_BYTES;
    let rest = match bytes - whole {
        0 => 0,
        rest => rest.max(MIN_CHUNK_COST_BYTES),
    };
    (whole + rest) as u32
}

/// Number of a request on a link. The side that opened the link sends the requests and numbers
/// them.
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
    /// Refuses the link. It is the last frame.
    Reject(Reject),
    /// Heartbeats, promises and requests for records.
    Control(Message),
    /// Log records that the receiver requested.
    Records(Records),
    /// Requests the shared state.
    #[serde(rename = "Ask")]
    StateRequest,
    /// Part of the shared state that the receiver requested.
    State(State),
    /// A forwarded request.
    Request(Box<Request>),
    /// The request is now sent to its target; the rest of its body may follow.
    Accept(Stream),
    /// Status and headers of a response.
    #[serde(rename = "Answer")]
    Response(Response),
    /// Part of the body of a request or response.
    Chunk {
        /// Request that the body belongs to.
        stream: Stream,
        /// Bytes of the part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// True if the body is complete.
        last: bool,
    },
    /// Allows the receiver of this frame to send more of a body.
    Credit {
        /// Request that the body belongs to.
        stream: Stream,
        /// Credit that is added, in bytes.
        bytes: u32,
    },
    /// Ends a request early.
    Abort {
        /// Request that ends.
        stream: Stream,
        /// Reason for the end.
        cause: Cause,
    },
    /// Refuses a request, which then gets no response from its target.
    Refusal(Refusal),
    /// Requests the progress of a request. The receiver sends it as a response with a body.
    #[serde(rename = "Inquiry")]
    Lookup(Lookup),
}

/// Query for the progress of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// Number of the query on the link.
    pub stream: Stream,
    /// Service that the request was sent to.
    pub service: name::Service,
    /// Id of the request.
    pub request: request::Id,
    /// Hash of the name of the caller that sent the query.
    pub caller: u64,
}

/// Introduction of a daemon, sent when a link is opened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Version of the sender's frames.
    pub version: u16,
    /// Process that sends the frame.
    pub process: Process,
    /// Data centre of the sender.
    pub data_centre: name::DataCentre,
    /// Offset up to which the sender has read the log.
    pub offset: Offset,
    /// Hash of the records that the sender has read.
    pub hash: u64,
    /// Random number that both proofs include, so that a proof is valid for one link only.
    pub nonce: u128,
}

/// Reason for which a link is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reject {
    /// The proof does not match the shared secret.
    Proof,
    /// The log has another process for the sender's host.
    Process,
    /// The receiver does not support the sender's version of the frames.
    Version,
}

/// Records for a peer that can't read the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Records {
    /// Time at which the request for the records was sent, on the requester's clock.
    pub sent: Instant,
    /// Age of the sender's latest log proof, if it has one.
    pub age: Option<Span>,
    /// End of the log in the sender's latest read.
    pub end: Offset,
    /// The records, in order.
    pub rows: Vec<(Offset, Entry)>,
}

/// Part of the shared state at an offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Offset of the last record in the state.
    pub at: Offset,
    /// Hash of the whole state.
    pub hash: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Bytes of this part of the encoded state.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A header of a request or response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as it is sent, which need not be text.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Number of the request on the link.
    pub stream: Stream,
    /// Attributes of the request that routing decides by.
    pub head: Head,
    /// Time left until the deadline.
    pub remaining: Span,
    /// Offset up to which the receiver must have applied the log before it routes the request.
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

/// Status and headers of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// Request that the response belongs to.
    pub stream: Stream,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

/// Reason for which a request ended early.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cause {
    /// The side that sent the request no longer waits for the response.
    Gone,
    /// The connection to the target broke.
    Broken,
}

/// A refusal of a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Request that is refused.
    pub stream: Stream,
    /// Reason for the refusal.
    pub refusal: request::Refusal,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Span>,
    /// Offset up to which the sender has read the log.
    pub offset: Offset,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
