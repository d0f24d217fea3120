//! Progress of a request.

use serde::{Deserialize, Serialize};

use crate::{name, number::Epoch, request};

/// What is known of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The request.
    pub id: request::Id,
    /// How far it got.
    pub progress: Progress,
    /// HTTP status of its answer, once known.
    pub status: Option<u16>,
    /// The target that ran or runs it.
    pub target: Option<name::Target>,
    /// Epoch under which it ran or runs.
    pub epoch: Option<Epoch>,
}

/// How far a request got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// It was answered.
    Answered,
    /// It was answered after its deadline.
    Late,
    /// It waits for a slot.
    Queued,
    /// It runs at its target.
    Running,
    /// It was sent, and how it ended isn't known.
    Unknown,
}
