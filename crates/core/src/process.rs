//! Identity of one run of a daemon.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::name;

/// One run of a daemon: its host and a random number generated at its start.
///
/// A restarted daemon is a new process, since it does not know the promises of the earlier one.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Process {
    /// The host that the daemon runs on.
    pub host: name::Host,
    /// Random number generated at the start of the process.
    pub incarnation: u64,
}

/// Reason why a text is not a process identity.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a process; write HOST/INCARNATION with a hexadecimal incarnation")]
pub struct Error(String);

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.incarnation)
    }
}

impl FromStr for Process {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fail = || Error(text.to_owned());
        let (host, incarnation) = text.split_once('/').ok_or_else(fail)?;
        Ok(Self {
            host: host.parse().map_err(|_| fail())?,
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| fail())?,
        })
    }
}
