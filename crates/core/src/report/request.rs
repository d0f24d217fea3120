//! Report on a request.

use serde::{Deserialize, Serialize};

use crate::{name, number::Epoch, request};

/// What is known about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Identifier of the request.
    pub id: request::Id,
    /// Progress of the request.
    pub progress: Progress,
    /// HTTP status of the answer, once known.
    pub status: Option<u16>,
    /// Target that the request ran or runs at.
    pub target: Option<name::Target>,
    /// Epoch under which the request ran or runs.
    pub epoch: Option<Epoch>,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The request was answered.
    Answered,
    /// The request was answered after its deadline.
    Late,
    /// The request waits to be sent.
    Queued,
    /// The request runs at its target.
    Running,
    /// The request was registered and may have been sent, and its outcome is not known.
    Unknown,
}
