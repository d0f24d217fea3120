//! Records of the log.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{
    key, name,
    number::{Epoch, Offset, Slice, Timeline, Version},
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
    /// Writer's wall clock, in milliseconds since the Unix epoch. It is displayed, and no decision
    /// depends on it.
    pub written_ms: u64,
    /// Change of the shared state.
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
        /// Name of the data centre.
        name: name::DataCentre,
        /// Its new state.
        state: State,
        /// Offset up to which the writer had applied the log. The record is refused if the state or
        /// the table changed after it. The daemon that accepts an operator's change fills it in.
        #[serde(default, skip_serializing_if = "Offset::is_zero")]
        after: Offset,
    },
    /// Takes a host out of service or returns it.
    Host {
        /// Name of the host.
        name: name::Host,
        /// Its new state.
        state: State,
        /// Offset up to which the writer had applied the log. The record is refused if the state
        /// was changed after it. The daemon that accepts an operator's change fills it in.
        #[serde(default, skip_serializing_if = "Offset::is_zero")]
        after: Offset,
    },
    /// Takes a target out of service or returns it.
    Target {
        /// Name of the target.
        name: name::Target,
        /// Its new state.
        state: State,
        /// Offset up to which the writer had applied the log. The record is refused if the state or
        /// the table changed after it. The daemon that accepts an operator's change fills it in.
        #[serde(default, skip_serializing_if = "Offset::is_zero")]
        after: Offset,
    },
    /// Announces a new process. An earlier process of the same host and address has ended, since
    /// the new one could bind the address.
    Started {
        /// Identity of the new process.
        process: Process,
        /// Address on which it accepts links from other daemons.
        address: SocketAddr,
        /// Data centre that it runs in.
        data_centre: name::DataCentre,
        /// Offset up to which the writer had applied the log. The record is refused if another
        /// process of the host was announced after it.
        after: Offset,
    },
    /// Declares that a process has ended for good. An operator asserts it, or the process itself
    /// writes it when it stops.
    Lost {
        /// Identity of the process that has ended.
        process: Process,
    },
    /// Claims the contracts of targets.
    Claim {
        /// Process that claims the contracts.
        holder: Process,
        /// Each target with the epoch of the contract that the claim replaces.
        targets: Vec<(name::Target, Option<Epoch>)>,
        /// Processes that may take over after a short wait.
        standbys: Vec<Process>,
    },
    /// Replaces the standbys of contracts and confirms that the holder's wait is over.
    Standbys {
        /// Each target with its contract's epoch.
        targets: Vec<(name::Target, Epoch)>,
        /// The new standbys.
        standbys: Vec<Process>,
        /// Offset of the latest change of these contracts that the writer had applied. Contracts
        /// that changed after it stay as they are.
        after: Offset,
    },
    /// Releases contracts. The holder has stopped sending requests to the targets.
    Release {
        /// Each target with its contract's epoch and the requests still running there.
        targets: Vec<(name::Target, Epoch, u32)>,
    },
    /// Moves slices and hot keys away from a target.
    Move {
        /// Service that the keys belong to.
        service: name::Service,
        /// Target that gives the shares away.
        from: name::Target,
        /// Epoch of that target's contract.
        epoch: Epoch,
        /// Each share with its new owner.
        shares: Vec<(Share, name::Target)>,
        /// Offset up to which the writer had applied the log. The record is refused if the
        /// contract changed after it.
        after: Offset,
    },
    /// Permits non-idempotent requests to run once.
    Intent {
        /// Target that will run the requests.
        target: name::Target,
        /// Epoch of that target's contract.
        epoch: Epoch,
        /// Identifiers of the requests.
        requests: Vec<request::Id>,
    },
    /// Removes intents whose requests were not sent and will not be.
    Withdraw {
        /// Each request with the offset of its intent.
        requests: Vec<(request::Id, Offset)>,
    },
    /// Records the results of non-idempotent requests.
    Outcome {
        /// Each request with the HTTP status of its response.
        requests: Vec<(request::Id, u16)>,
    },
    /// Reports that a target crashed, with the requests that were in flight there.
    Crash {
        /// Name of the target.
        target: name::Target,
        /// Epoch of its contract.
        epoch: Epoch,
        /// Fingerprints of the requests in flight.
        fingerprints: Vec<request::Fingerprint>,
    },
    /// Quarantines requests with a fingerprint, or lifts the quarantine.
    Quarantine {
        /// Fingerprint of the requests.
        fingerprint: request::Fingerprint,
        /// True to quarantine, false to lift the quarantine.
        barred: bool,
    },
    /// Removes the intents that were written before an offset.
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
        /// Bytes of this part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Marks the log as complete after it was restored from a copy: the records that it lost were
    /// appended again.
    Resumed {
        /// Timeline of the log.
        timeline: Timeline,
    },
}

/// Part of a service's keys that a [`Record::Move`] gives to another target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Share {
    /// One key, placed apart from its slice.
    Key(key::Digest),
    /// A key that was placed apart returns to its slice's owner.
    Merge(key::Digest),
    /// A slice, without the keys of it that are placed apart.
    Slice(Slice),
}

/// Whether a data centre, host or target is in service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Out of service: gets no new work.
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
