//! Report on a daemon's view of the system.

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

/// Hash of a daemon's shared state, written as hexadecimal text.
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

/// State of the system as one daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Process of the reporting daemon.
    pub process: Process,
    /// Data centre of the reporting daemon.
    pub data_centre: name::DataCentre,
    /// Offset of the last record that the daemon applied.
    pub offset: Offset,
    /// Hash of the daemon's shared state.
    pub hash: Hash,
    /// Version of the daemon's table.
    pub version: Version,
    /// Age of the daemon's latest proof that the log has no newer record, or `None` without one.
    pub proof_age: Option<Span>,
    /// State of each data centre, as set by operators.
    pub data_centres: BTreeMap<name::DataCentre, State>,
    /// Hosts that the daemon knows.
    pub hosts: Vec<Host>,
    /// Targets of the table.
    pub targets: Vec<Target>,
    /// Quarantined fingerprints.
    pub quarantine: Vec<request::Fingerprint>,
    /// Conditions that need an operator, each with its remedy.
    pub warnings: Vec<String>,
}

/// Values of a daemon's gauges.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gauges {
    /// Age of the latest log proof, or `None` without one.
    pub proof_age: Option<Span>,
    /// Number of peers whose state differs at the same offset.
    pub differing_peers: u64,
    /// Number of peers without a recent heartbeat that are not recorded as lost.
    pub unheard_peers: u64,
    /// Number of targets that no process holds.
    pub unheld_targets: u64,
    /// Number of held targets in service that do not answer probes.
    pub lost_targets: u64,
    /// Held targets that have stated that they leave.
    pub leaving_targets: u64,
    /// Held targets that want nothing for a time.
    pub paused_targets: u64,
    /// Number of quarantined fingerprints.
    pub quarantined: u64,
    /// Number of targets that this process holds.
    pub held_targets: u64,
}

/// A host in a status report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Latest process on the host.
    pub process: Process,
    /// Data centre of the host.
    pub data_centre: name::DataCentre,
    /// State set by operators.
    pub state: State,
    /// True if the process is the reporting daemon, or sent it a recent heartbeat and is not recorded
    /// as lost.
    pub alive: bool,
    /// Offset in the process's latest heartbeat.
    pub offset: Option<Offset>,
    /// True if the process's state hash differs from the reporting daemon's at the same offset.
    pub differs: bool,
}

/// A target in a status report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Service of the target.
    pub service: name::Service,
    /// Data centre of the target.
    pub data_centre: name::DataCentre,
    /// State set by operators.
    pub state: State,
    /// Contract for the target, or `None` if no process has claimed it.
    pub contract: Option<Contract>,
    /// Load of the target, or `None` if the reporting daemon does not hold it.
    pub load: Option<Load>,
}

/// Load of a target as its holder observes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Current condition of the target.
    pub condition: Condition,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of answers that arrived after their request's deadline, since the contract began.
    pub late: u64,
}

/// Condition of a target as its holder observes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The target started recently, and its limit grows.
    Cold,
    /// The target accepts connections but answers nothing.
    Frozen,
    /// The target can't be reached.
    Lost,
    /// The target serves requests up to its slots.
    Serving,
    /// The target has been slower than the other targets of its service for some time.
    Slow,
}
