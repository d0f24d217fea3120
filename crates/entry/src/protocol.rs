//! Names, formats and calls that an entry host speaks, supplied by an adapter.

use std::collections::BTreeMap;

use bytes::Bytes;
use ragwortrill_core::{name, number::Offset, time::Span};
use ragwortrill_router::{config::Config, leader::Order, load::Report, registration::Registration};

use crate::call::{Call, Reply};

/// Everything that an outside system spells in its own way.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Names of headers.
    pub headers: Headers,
    /// Path of the load balancer's readiness check.
    pub readiness_path: &'static str,
    /// Topics of the log.
    pub topics: Topics,
    /// Calls to the log.
    pub log: Log,
    /// Decodes the operators' configuration.
    pub decode_config: fn(&[u8]) -> anyhow::Result<Config>,
    /// Decodes the entry of a target.
    pub decode_registration: fn(&str, &[u8]) -> anyhow::Result<Registration>,
    /// Tells what a key of the operators' topic names.
    pub parse_command: fn(&str) -> Option<Command>,
    /// Decodes the load that a target reports.
    pub decode_load: fn(&str) -> Option<Report>,
    /// Phrases an order to a target.
    pub encode_order: fn(&Order) -> Call,
    /// Returns the token that a target answered a release with.
    pub handover_token: fn(&Reply) -> Option<String>,
}

/// Names of headers.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Id of a request.
    pub request_id: &'static str,
    /// Milliseconds that the caller waits.
    pub deadline: &'static str,
    /// Id of the target that a request is meant for.
    pub expected_target: &'static str,
    /// Signature of a target's answer.
    pub signature: &'static str,
    /// Present if the target did not run the request.
    pub not_run: &'static str,
    /// Key of a request to a partitioned service.
    pub key: &'static str,
    /// Load of the target.
    pub load: &'static str,
}

/// Topics of the log.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// The operators' configuration and commands.
    pub operators: &'static str,
    /// Entries of targets.
    pub targets: &'static str,
    /// Assignments of keys and the hosts of the system.
    pub ownership: &'static str,
    /// Terms of the leader.
    pub terms: &'static str,
    /// Topic whose reader leads.
    pub leadership: &'static str,
}

/// What a key of the operators' topic names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// The configuration.
    Config,
    /// The evacuation of a data centre.
    Evacuate(name::DataCentre),
}

/// A record with a key. Without a value, the key is dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value; none if the key is dropped.
    pub value: Option<Bytes>,
    /// Position in the log.
    pub offset: Offset,
}

/// A record that is to be appended. An empty value drops the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// One page of the newest records of all keys.
#[derive(Clone, Debug)]
pub struct Page {
    /// Records in the order of their keys.
    pub records: Vec<Record>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Offset after the last record of the topic.
    pub end: Offset,
}

/// Records from an offset on.
#[derive(Clone, Debug)]
pub enum Read {
    /// The records, and the offset after the last of them.
    Records(Vec<Record>, Offset),
    /// Records from this offset on have expired.
    Expired,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Append {
    /// Appended; the offset after the record.
    Done(Offset),
    /// Another record came first; the topic's end.
    Conflict(Offset),
    /// Nothing was done.
    Refused,
}

/// Membership of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Membership {
    /// Generation of the group.
    pub generation: u64,
    /// Whether this member is the one that leads.
    pub is_leader: bool,
}

/// What a host says to stay in the group of hosts.
#[derive(Clone, Debug)]
pub struct Member<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Time without a call after which it leaves the group.
    pub ttl: Span,
    /// Generation that it knows.
    pub generation: u64,
}

/// Calls to the log.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Asks for a page of the newest records after a key.
    pub newest: fn(topic: &str, after: Option<&str>) -> Call,
    /// Decodes a page.
    pub decode_newest: fn(&Reply) -> anyhow::Result<Page>,
    /// Asks for records from an offset on, for at most a time.
    pub read: fn(topic: &str, from: Offset, wait: Span) -> Call,
    /// Decodes records.
    pub decode_read: fn(&Reply, from: Offset) -> anyhow::Result<Read>,
    /// Appends records, all or none, on condition that the topic ends at an offset.
    pub append: fn(topic: &str, at: Option<Offset>, records: &[Draft]) -> Call,
    /// Decodes the outcome of an append.
    pub decode_append: fn(&Reply) -> anyhow::Result<Append>,
    /// Joins the group of hosts, or stays in it.
    pub join: fn(&Topics, &Member<'_>) -> Call,
    /// Decodes the membership.
    pub decode_join: fn(&Reply) -> anyhow::Result<Membership>,
    /// Leaves the group of hosts.
    pub leave: fn(&Topics, &Member<'_>) -> Call,
}

/// Newest values by key.
pub type Newest = BTreeMap<String, Bytes>;
