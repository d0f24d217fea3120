use ragwortrill_core::name;
use serde::{Deserialize, Serialize};

/// Body of the answer to a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The target that ran the request.
    pub target: name::Target,
    /// Random number chosen at the target's last cold start.
    pub start_id: u64,
    /// Identifier of the request, if it has one.
    pub request: Option<String>,
    /// Key of the request, if it has one.
    pub key: Option<String>,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// How often the target has run this request identifier, with this run.
    pub runs: u32,
    /// How often the target has run requests for this key, with this run.
    pub key_runs: u32,
    /// Length of the request's body, in bytes.
    pub body_bytes: u64,
    /// Sum of the body's bytes.
    pub body_sum: u64,
}
