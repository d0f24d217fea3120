//! Recovery of the key ranges after the store was restored from an older copy.
//!
//! The copy lacks the latest ranges, but hosts have them in memory. The first leader of a timeline
//! merges what it and other hosts know with the copy, by epochs, and writes all of it again.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::future;
use ragwortrill_core::name;
use ragwortrill_router::assignment::{Assignment, Range};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::{
    call::{Call, Client},
    lease::Rank,
    shared::Shared,
};

/// Path on the port between hosts that returns what a host remembers.
pub(crate) const PATH: &str = "/ranges";
/// Number of other hosts that are asked, the earlier leader among them. All of them follow the
/// leader closely.
const MAX_HOSTS: usize = 4;
/// Timeout of a request to another host.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response of another host.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// What a host remembers of the ownership of keys.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Memory {
    /// Key ranges by service.
    ranges: BTreeMap<name::Service, Vec<Range>>,
    /// Latest term that the host knows.
    latest_term: Rank,
    /// Last term in which the host led.
    led_term: Rank,
}

/// Assignments that were merged from several sources.
pub(crate) struct Merged {
    pub(crate) assignments: BTreeMap<name::Service, Assignment>,
    /// Whether the leader of the latest term is among the sources, so that no later range can be
    /// missing.
    pub(crate) is_complete: bool,
}

impl Memory {
    fn of(shared: &Shared) -> Self {
        Self {
            ranges: ranges(&shared.assignments.borrow()),
            latest_term: shared.latest_term.get(),
            led_term: shared.led_term.get(),
        }
    }
}

/// Encodes what this host remembers.
pub(crate) fn encode_memory(shared: &Shared) -> Result<Vec<u8>> {
    let mut encoded = Vec::new();
    ciborium::into_writer(&Memory::of(shared), &mut encoded)?;
    Ok(encoded)
}

/// Merges assignments of the store with what this host and others remember.
pub(crate) async fn merge(
    shared: &Rc<Shared>,
    stored: &BTreeMap<name::Service, Assignment>,
) -> Merged {
    let mut sources = fetch_from_hosts(shared).await;
    let hosts = sources.len();
    sources.push(Memory::of(shared));
    let latest = sources.iter().map(|source| source.latest_term).max();
    let is_latest = |source: &Memory| Some(source.led_term) == latest;
    let is_complete = sources.iter().any(is_latest);
    sources.push(Memory {
        ranges: ranges(stored),
        ..Memory::default()
    });
    let mut by_service: BTreeMap<name::Service, Vec<Range>> = BTreeMap::new();
    for (service, ranges) in sources.into_iter().flat_map(|source| source.ranges) {
        by_service.entry(service).or_default().extend(ranges);
    }
    let assignments: BTreeMap<name::Service, Assignment> = by_service
        .into_iter()
        .map(|(service, ranges)| (service, Assignment::merge(ranges)))
        .collect();
    log::info!(
        stored = count(stored), merged = count(&assignments), hosts = hosts,
        is_complete = is_complete;
        "key ranges recovered from hosts"
    );
    Merged {
        assignments,
        is_complete,
    }
}

fn ranges(
    assignments: &BTreeMap<name::Service, Assignment>,
) -> BTreeMap<name::Service, Vec<Range>> {
    let all = assignments.iter();
    all.map(|(service, assignment)| (service.clone(), assignment.ranges.clone()))
        .collect()
}

fn count(assignments: &BTreeMap<name::Service, Assignment>) -> usize {
    assignments.values().map(|a| a.ranges.len()).sum()
}

async fn fetch_from_hosts(shared: &Shared) -> Vec<Memory> {
    let addresses = addresses(shared);
    let fetched = addresses.into_iter().take(MAX_HOSTS).map(fetch);
    let fetched = future::join_all(fetched).await;
    fetched.into_iter().filter_map(Result::ok).collect()
}

/// Returns the addresses of the other hosts, the earlier leader's first.
fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let hosts = shared.hosts.borrow();
    let own = shared.settings.borrow().host.to_string();
    let others = hosts.iter().filter(|(host, _)| **host != own);
    let mut addresses: Vec<SocketAddr> = others.filter_map(|(_, host)| host.address).collect();
    addresses.shuffle(&mut *shared.random.borrow_mut());
    let leader = shared.leader.borrow();
    let leader = leader.as_ref().filter(|leader| **leader != own);
    if let Some(first) = leader.and_then(|leader| leader_address(shared, leader)) {
        addresses.retain(|address| *address != first);
        addresses.insert(0, first);
    }
    addresses
}

/// Returns the address of the earlier leader. One that stops has removed its record, but answers
/// until its process ends.
fn leader_address(shared: &Shared, leader: &str) -> Option<SocketAddr> {
    let hosts = shared.hosts.borrow();
    match hosts.get(leader) {
        Some(known) => known.address,
        None => {
            let stopped = shared.stopped_leader.borrow();
            let stopped = stopped.as_ref().filter(|(host, _)| host == leader);
            stopped.map(|(_, address)| *address)
        }
    }
}

async fn fetch(address: SocketAddr) -> Result<Memory> {
    let call = Call {
        method: "GET",
        path: PATH.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let mut client = Client::new(address, MAX_RESPONSE_BYTES);
    let reply = client.call(&call, TIMEOUT).await?;
    if reply.status != 200 {
        bail!("the host answered with status {}", reply.status);
    }
    ciborium::from_reader(reply.body.as_ref()).context("the host's ranges can't be decoded")
}
