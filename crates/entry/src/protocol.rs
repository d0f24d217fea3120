//! Protocol of the platform that hosts run on: its names, formats and requests, supplied by an
//! adapter.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use ragwortrill_core::{
    name,
    number::{Offset, Timeline},
    time::Span,
};
use ragwortrill_router::{config::Config, leader::Order, load::Report, registration::Registration};

use crate::call::{Call, Reply, Subject};

/// Everything that differs between platforms.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Names of the headers of requests and responses.
    pub headers: Headers,
    /// Path that the load balancer requests to check whether the host is ready.
    pub readiness_path: &'static str,
    /// Names of the store's topics.
    pub topics: Topics,
    /// Requests to the store and decoders of its responses.
    pub log: Log,
    /// Decodes the operators' configuration.
    pub decode_config: fn(&[u8]) -> anyhow::Result<Config>,
    /// Decodes the entry of a target.
    pub decode_registration: fn(&str, &[u8]) -> anyhow::Result<Registration>,
    /// Parses a key of the operators' topic; none if the key is not a command.
    pub parse_command: fn(&str) -> Option<Command>,
    /// Decodes the load that a target reports in a header.
    pub decode_load: fn(&str) -> Option<Report>,
    /// Encodes a grant or release as a request to a target, with an id of the request.
    pub encode_order: fn(&Order, u64) -> Call,
    /// Returns which order a target's reply to the order with an id answers.
    pub order_subject: fn(&Reply, u64) -> Subject,
    /// Returns the address at which this host reaches a target that registered with an address.
    pub dial: fn(SocketAddr) -> SocketAddr,
    /// Returns the handover token in a target's reply to a release.
    pub handover_token: fn(&Reply) -> Option<String>,
}

/// Names of the headers of requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Id of a request.
    pub request_id: &'static str,
    /// Milliseconds for which the caller waits for the reply.
    pub deadline: &'static str,
    /// Id of the target that a request is meant for.
    pub expected_target: &'static str,
    /// Signature of a target's response.
    pub signature: &'static str,
    /// Present if the target did not run the request.
    pub not_run: &'static str,
    /// Key of a request to a partitioned service.
    pub key: &'static str,
    /// Load that a target reports in its responses.
    pub load: &'static str,
    /// Requests per second that a target takes from all hosts together.
    pub rate_limit: &'static str,
    /// Present with the value 1 if the target leaves.
    pub leaving: &'static str,
    /// Seconds for which a target that refuses a request wants nothing from this host.
    pub retry_after: &'static str,
}

/// Names of the store's topics.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// The operators' configuration and commands.
    pub operators: &'static str,
    /// Entries of targets.
    pub targets: &'static str,
    /// Assignments of keys, registered hosts and quarantined requests.
    pub ownership: &'static str,
    /// Lease of the leader.
    pub terms: &'static str,
    /// Topic of the group of hosts; the member that holds its partition is the leader candidate.
    pub leadership: &'static str,
}

/// Command of the operators, as named by a key of their topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Replaces the configuration.
    Config,
    /// Evacuates a data centre, until the record of the command is removed.
    Evacuate(name::DataCentre),
}

/// A record of a topic. Without a value, it removes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key that the record sets or removes.
    pub key: String,
    /// New value of the key; none if the record removes it.
    pub value: Option<Bytes>,
    /// Position in the topic.
    pub offset: Offset,
}

/// A record to append. An empty value removes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Key that the record sets or removes.
    pub key: String,
    /// New value of the key; empty to remove it.
    pub value: Vec<u8>,
}

/// One page of the list of the newest record of each key.
#[derive(Clone, Debug)]
pub struct Page {
    /// Records in the order of their keys.
    pub records: Vec<Record>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// End offset of the topic: the offset after its last record.
    pub end: Offset,
}

/// Outcome of a read from an offset on.
#[derive(Clone, Debug)]
pub enum Read {
    /// The records, and the offset from which to continue reading.
    Records(Vec<Record>, Offset),
    /// The records at the offset have expired.
    Expired,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Append {
    /// All records were appended. The offset is the new end of the topic.
    Done(Offset),
    /// Nothing was appended, since the topic did not end at the required offset. The offset is its
    /// current end.
    Conflict(Offset),
    /// Nothing was appended for another reason.
    Refused,
}

/// Membership in the group of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Membership {
    /// Generation of the group.
    pub generation: u64,
    /// Whether the group names this member as leader candidate.
    pub is_candidate: bool,
}

/// A host's request to join, renew or leave the group of hosts.
#[derive(Clone, Debug)]
pub struct Member<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Time after the last request at which the member drops out of the group.
    pub ttl: Span,
    /// Generation of the group that the member received last.
    pub generation: u64,
}

/// Requests to the store's log and decoders of its responses.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Returns the timeline of the store that sent a response.
    pub timeline: fn(&Reply) -> Timeline,
    /// Requests a page of the newest record of each key, after a key if one is given.
    pub newest: fn(topic: &str, after: Option<&str>) -> Call,
    /// Decodes a page of the newest records.
    pub decode_newest: fn(&Reply) -> anyhow::Result<Page>,
    /// Requests records from an offset on; the store waits up to `wait` for the first.
    pub read: fn(topic: &str, from: Offset, wait: Span) -> Call,
    /// Decodes the outcome of a read.
    pub decode_read: fn(&Reply, from: Offset) -> anyhow::Result<Read>,
    /// Appends all records or none; with `at`, only if the topic ends at that offset.
    pub append: fn(topic: &str, at: Option<Offset>, records: &[Draft]) -> Call,
    /// Decodes the outcome of an append.
    pub decode_append: fn(&Reply, at: Option<Offset>, count: usize) -> anyhow::Result<Append>,
    /// Joins the group of hosts or renews the membership.
    pub join: fn(&Topics, &Member<'_>) -> Call,
    /// Decodes the membership.
    pub decode_join: fn(&Reply) -> anyhow::Result<Membership>,
    /// Leaves the group of hosts.
    pub leave: fn(&Topics, &Member<'_>) -> Call,
}

/// Newest value of each key.
pub type Newest = BTreeMap<String, Bytes>;
