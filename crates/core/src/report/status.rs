//! A daemon's view of the system.

use std::{collections::BTreeMap, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{
    contract::Contract,
    name,
    number::{Offset, Version},
    process::Process,
    record::State,
    request,
    time::Span,
};

/// Hash of a daemon's shared state, as hexadecimal text.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Hash(pub u64);

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Hash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A daemon's view of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon that answers.
    pub process: Process,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Offset of the last record that it applied.
    pub offset: Offset,
    /// Hash of its shared state.
    pub hash: Hash,
    /// Version of its table.
    pub version: Version,
    /// Age of its latest proof that no newer record exists, or `None` if it has none.
    pub proof_age: Option<Span>,
    /// State of each data centre.
    pub data_centres: BTreeMap<name::DataCentre, State>,
    /// The hosts it knows.
    pub hosts: Vec<Host>,
    /// The targets of the table.
    pub targets: Vec<Target>,
    /// Fingerprints of requests that are quarantined.
    pub quarantine: Vec<request::Fingerprint>,
    /// Conditions that need an operator, each with its remedy.
    pub warnings: Vec<String>,
}

/// Conditions that a daemon's metrics show.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gauges {
    /// Age of the latest log proof, or `None` if there was none.
    pub proof_age: Option<Span>,
    /// Peers with another state at the same offset.
    pub differing_peers: u64,
    /// Processes that are not heard and not known to have ended.
    pub unheard_peers: u64,
    /// Targets that no process holds.
    pub unheld_targets: u64,
    /// Held targets in service that do not answer probes.
    pub lost_targets: u64,
    /// Fingerprints that are barred.
    pub quarantined: u64,
    /// Targets that this process holds.
    pub held_targets: u64,
}

/// A host in a status report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// The latest process on the host.
    pub process: Process,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// State given by operators.
    pub state: State,
    /// True if the reporting daemon has a current heartbeat of the process.
    pub alive: bool,
    /// Offset in its latest heartbeat.
    pub offset: Option<Offset>,
    /// True if its state hash differs from the reporting daemon's at the same offset.
    pub differs: bool,
}

/// A target in a status report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Its name.
    pub name: name::Target,
    /// Its service.
    pub service: name::Service,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// State given by operators.
    pub state: State,
    /// The contract, or `None` if no process holds the target.
    pub contract: Option<Contract>,
    /// What the holder observes, or `None` if the reporting daemon doesn't know.
    pub load: Option<Load>,
}

/// A holder's observations of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// What the target can do at the moment.
    pub condition: Condition,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Answers that arrived after their request's deadline, since the contract began.
    pub late: u64,
}

/// What a target can do, as its holder observes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It started recently; its limit is growing.
    Cold,
    /// It accepts connections but answers nothing.
    Frozen,
    /// It can't be reached.
    Lost,
    /// It serves at its full limit.
    Serving,
    /// It has been slower than the other targets of its service for long.
    Slow,
}
