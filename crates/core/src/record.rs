//! Records that the log carries.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{
    key, name,
    number::{Epoch, Offset, Slice, Version},
    process::Process,
    request,
    table::Table,
};

/// Identifier of an entry, chosen by its writer. A retried append uses the same identifier.
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
pub struct Id(pub u128);

/// A record with its origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Identifier chosen by the writer.
    pub id: Id,
    /// Process or operator that wrote the record.
    pub actor: String,
    /// Why the record was written.
    pub reason: String,
    /// Writer's wall clock, in milliseconds since the Unix epoch. Only shown, never decided on.
    pub written_ms: u64,
    /// The change.
    pub record: Record,
}

/// A change of the shared state. Each is a compare-and-set on the version, epoch or offset that it
/// names, so that a late or repeated copy has no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Replaces the table.
    Table {
        /// Version that the table was edited from.
        base: Version,
        /// The new table.
        table: Table,
    },
    /// Takes a data centre out of service or returns it.
    DataCentre {
        /// The data centre.
        name: name::DataCentre,
        /// Its new state.
        state: State,
        /// Offset that the writer had applied. A later change of the same subject wins.
        after: Offset,
    },
    /// Takes a host out of service or returns it.
    Host {
        /// The host.
        name: name::Host,
        /// Its new state.
        state: State,
        /// Offset that the writer had applied. A later change of the same subject wins.
        after: Offset,
    },
    /// Takes a target out of service or returns it.
    Target {
        /// The target.
        name: name::Target,
        /// Its new state.
        state: State,
        /// Offset that the writer had applied. A later change of the same subject wins.
        after: Offset,
    },
    /// Announces a new process. An earlier process of the same host and address has ended, since
    /// the new one could bind the address.
    Started {
        /// The new process.
        process: Process,
        /// Address that it accepts links on.
        address: SocketAddr,
        /// Data centre that it runs in.
        data_centre: name::DataCentre,
        /// Offset that the writer had applied. A later change of the same subject wins.
        after: Offset,
    },
    /// An operator's assertion that a process has ended for good.
    Lost {
        /// The ended process.
        process: Process,
    },
    /// Claims the contracts of targets.
    Claim {
        /// The claiming process.
        holder: Process,
        /// Each target with the epoch of the contract that the claim replaces.
        targets: Vec<(name::Target, Option<Epoch>)>,
        /// Processes that may take over after a short wait.
        standbys: Vec<Process>,
    },
    /// Names other standbys and confirms that the holder's wait is over.
    Standbys {
        /// Each target with its contract's epoch.
        targets: Vec<(name::Target, Epoch)>,
        /// The new standbys.
        standbys: Vec<Process>,
        /// Offset that the writer had applied. A later change of a contract wins.
        after: Offset,
    },
    /// Gives contracts up. The holder has stopped sending work.
    Release {
        /// Each target with its contract's epoch and the requests still running there.
        targets: Vec<(name::Target, Epoch, u32)>,
    },
    /// Moves slices and hot keys away from a target.
    Move {
        /// The service.
        service: name::Service,
        /// The target that owns what moves.
        from: name::Target,
        /// Epoch of that target's contract.
        epoch: Epoch,
        /// What moves, and where to.
        shares: Vec<(Share, name::Target)>,
        /// Offset that the writer had applied. A later change of the contract wins.
        after: Offset,
    },
    /// Permits non-idempotent requests to run once.
    Intent {
        /// The target that will run them.
        target: name::Target,
        /// Epoch of that target's contract.
        epoch: Epoch,
        /// The requests.
        requests: Vec<request::Id>,
    },
    /// Takes intents back: their requests were not sent and will not be.
    Withdraw {
        /// Each request with the offset of its intent.
        requests: Vec<(request::Id, Offset)>,
    },
    /// Notes how non-idempotent requests ended.
    Outcome {
        /// Each request with the HTTP status of its answer.
        requests: Vec<(request::Id, u16)>,
    },
    /// Notes that a target crashed, and the requests that were in flight there.
    Crash {
        /// The target.
        target: name::Target,
        /// Epoch of its contract.
        epoch: Epoch,
        /// Fingerprints of the requests.
        fingerprints: Vec<request::Fingerprint>,
    },
    /// Bars requests with a fingerprint, or releases them.
    Quarantine {
        /// The fingerprint.
        fingerprint: request::Fingerprint,
        /// True to bar, false to release.
        barred: bool,
    },
    /// Ends the memory of requests whose intent was written before an offset.
    Forget {
        /// The first offset that is kept.
        before: Offset,
    },
    /// A part of the state at an offset, so that older records may expire.
    Snapshot {
        /// Offset of the last record in the state.
        at: Offset,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// The encoded part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// Part of a service's keys.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Share {
    /// One key, placed apart from its slice.
    Key(key::Digest),
    /// A key that was placed apart returns to its slice's owner.
    Merge(key::Digest),
    /// A slice, without the keys of it that are placed apart.
    Slice(Slice),
}

/// Whether operators let a data centre, host or target have work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Has work.
    #[default]
    In,
    /// Gets no new work.
    Out,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Id {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
