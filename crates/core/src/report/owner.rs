//! Reports on the owners of keys.

use serde::{Deserialize, Serialize};

use crate::{
    contract::Contract,
    key, name,
    number::{Epoch, Slice},
    process::Process,
};

/// A target that owns keys of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Service of the keys.
    pub service: name::Service,
    /// Target that owns the keys.
    pub target: name::Target,
    /// Data centre of the target.
    pub data_centre: name::DataCentre,
    /// Number of slices that the target owns.
    pub slices: u32,
    /// Number of keys that the target owns apart from slices.
    pub keys: u32,
    /// Contract for the target, or `None` if no process has claimed it.
    pub contract: Option<Contract>,
}

/// Explanation of where a key is served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Service of the key.
    pub service: name::Service,
    /// Hash of the service and the key.
    pub hash: key::Digest,
    /// Slice that the hash falls into.
    pub slice: Slice,
    /// Target that owns the key.
    pub target: name::Target,
    /// Process that holds the target, if any.
    pub holder: Option<Process>,
    /// Epoch of the holder's contract.
    pub epoch: Option<Epoch>,
    /// Reasons, in one sentence each.
    pub why: Vec<String>,
}
