//! Identifiers of requests, and the reasons why a request is refused.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::xxh3_64;

use crate::{key, name};

/// Identifier of a request: the hash of its key and the hash of its idempotency key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Id {
    /// Hash of the service and the key, by which the request is routed.
    pub key: key::Digest,
    /// Hash of the service, the caller and its idempotency key, or a random number.
    pub number: u64,
}

/// A text is not a request identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a request id; write 16 hexadecimal digits, '-' and 16 more")]
pub struct Error(String);

/// Hash of method, path, key and idempotency key. Requests with the same fingerprint are taken to
/// do the same work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Fingerprint(pub u64);

/// Whether a request that got no answer from its target has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request did not run and will not.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Reason why a request was refused instead of answered by its target.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Requests with the same fingerprint crashed their targets.
    #[error("requests like this one crashed their targets; ask an operator to release it")]
    #[serde(rename = "barred")]
    Quarantined,
    /// The request's id was used before, and the outcome of that request is not known.
    #[error("the outcome of this request id is not known; look it up at its target")]
    Duplicate,
    /// The deadline would pass before the request could be answered.
    #[error("the deadline would pass before a slot is free; retry later or allow more time")]
    Late,
    /// The log service does not answer, so the request can't be registered.
    #[error("the log service does not answer, so the request can't be registered; retry later")]
    LogDown,
    /// The target's connection broke after the request was sent.
    #[error("the target's connection broke; look the request up by its id")]
    Broken,
    /// No daemon holds the target at the moment.
    #[error("no daemon holds the target at the moment; retry")]
    NoHolder,
    /// This daemon does not hold the target.
    #[error("this daemon does not hold the target; retry")]
    NotMine,
    /// The service has no target that can take requests.
    #[error("no target of the service takes requests; retry later, or return a target")]
    NoTarget,
    /// The target's queue is full, or the target wants no requests for a time.
    #[error("the target takes no more requests at the moment; retry later")]
    Full,
    /// The key is being moved to another target.
    #[error("the key is being moved to another target; retry")]
    Moving,
    /// A request with the same id is still running.
    #[error("a request with this id is running; look it up by its id")]
    Running,
    /// The target could not be reached, and nothing was sent.
    #[error("the target can't be reached; retry")]
    Unreachable,
    /// The table has no such service.
    #[error("the table has no such service; check the path")]
    UnknownService,
}

impl Refusal {
    /// Returns whether a request that was refused for this reason has run.
    pub fn run(self) -> Run {
        match self {
            Self::Broken | Self::Duplicate | Self::Running => Run::Unknown,
            _ => Run::NotRun,
        }
    }

    /// Returns whether the daemon that the request arrived at may route it again.
    pub fn may_reroute(self) -> bool {
        matches!(
            self,
            Self::Moving | Self::NoHolder | Self::NotMine | Self::Unreachable
        )
    }
}

impl Fingerprint {
    /// Hashes the parts of a request that identify its work.
    pub fn new(method: &str, path: &str, key: key::Digest, idempotency_key: Option<&str>) -> Self {
        let text = format!("{method}\n{path}\n{key}\n{}", idempotency_key.unwrap_or(""));
        Self(xxh3_64(text.as_bytes()))
    }
}

impl Id {
    /// Creates the identifier of a request from its caller and idempotency key. The caller is
    /// included since two callers may choose the same idempotency key.
    pub fn new(
        service: &name::Service,
        key: key::Digest,
        caller: &str,
        idempotency_key: &str,
    ) -> Self {
        let text = format!("{service}\n{caller}\n{idempotency_key}");
        Self {
            key,
            number: xxh3_64(text.as_bytes()),
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.key, self.number)
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fail = || Error(text.to_owned());
        let (key, number) = text.split_once('-').ok_or_else(fail)?;
        Ok(Self {
            key: key.parse().map_err(|_| fail())?,
            number: u64::from_str_radix(number, 16).map_err(|_| fail())?,
        })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
