//! Owners of keys.

use serde::{Deserialize, Serialize};

use crate::{
    contract::Contract,
    key, name,
    number::{Epoch, Slice},
    process::Process,
};

/// Who owns keys of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// The service.
    pub service: name::Service,
    /// The target that owns the keys.
    pub target: name::Target,
    /// The target's data centre.
    pub data_centre: name::DataCentre,
    /// Number of slices that it owns.
    pub slices: u32,
    /// Number of keys that it owns apart from slices.
    pub keys: u32,
    /// The contract, or `None` if no process holds the target.
    pub contract: Option<Contract>,
}

/// Why a key is served where it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: name::Service,
    /// Hash of the service and the key.
    pub hash: key::Digest,
    /// Slice of the hash.
    pub slice: Slice,
    /// The target that owns the key.
    pub target: name::Target,
    /// The process that may command the target, if any.
    pub holder: Option<Process>,
    /// Epoch of the holder's contract.
    pub epoch: Option<Epoch>,
    /// The reasons, one sentence each.
    pub why: Vec<String>,
}
