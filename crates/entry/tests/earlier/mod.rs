//! Messages and records as release 7d27191 reads them: copies of its types, on primitive types.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

/// A topic of the store.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    Operators,
    Targets,
    Ownership,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Incarnation {
    id: String,
    born: u64,
    address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    target: Incarnation,
    per_second: Option<String>,
    age_us: u64,
}

/// Report of a host to the leader.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    #[serde(default)]
    timeline: u64,
    #[serde(rename = "from")]
    offsets: BTreeMap<Topic, u64>,
    #[serde(default)]
    unread: BTreeSet<Topic>,
    #[serde(rename = "heat")]
    traffic: BTreeMap<String, BTreeMap<u16, u32>>,
    #[serde(rename = "work")]
    work_times: Vec<(String, f64, u32)>,
    crashes: Vec<(Incarnation, Vec<String>)>,
    acquitted: BTreeSet<String>,
    #[serde(default)]
    quarantined: BTreeSet<String>,
    #[serde(default)]
    verdicts: u64,
    #[serde(default)]
    rate_limits: Vec<Limit>,
}

/// The leader's response to a report.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    #[serde(default)]
    timeline: u64,
    held: u64,
    topics: BTreeMap<Topic, Changes>,
    pub suspects: BTreeSet<String>,
    #[serde(default)]
    pub held_suspects: BTreeSet<String>,
    #[serde(default)]
    pub quarantined: BTreeSet<String>,
    #[serde(default)]
    verdicts: u64,
    #[serde(default)]
    rate_limits: Vec<Limit>,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    pub records: Vec<(String, Option<Vec<u8>>, u64)>,
    #[serde(default)]
    is_complete: bool,
    next: u64,
    age: u64,
}

/// What a host remembers of the ownership of keys.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Memory {
    ranges: BTreeMap<String, Vec<Range>>,
    latest_term: (u64, u64),
    led_term: (u64, u64),
}

/// Record of a key range.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Range {
    first: u16,
    last: u16,
    epoch: u64,
    owner: Incarnation,
    state: State,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum State {
    Held,
    Moving(Vec<PreviousOwner>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct PreviousOwner {
    life: Incarnation,
    fence: u64,
}

/// Record of the lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Term {
    number: u64,
    host: String,
    is_over: bool,
    #[serde(default)]
    timeline: u64,
    #[serde(default)]
    is_uncertain: bool,
}

/// Record of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    address: Option<SocketAddr>,
    #[serde(default)]
    forwards: Option<SocketAddr>,
    #[serde(default)]
    data_centre: Option<String>,
    processor_percent: u32,
}

/// Answer to the question whether a host reaches a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum View {
    Reached,
    Refused,
    Silent,
    Unknown,
}
