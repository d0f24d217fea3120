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

use crate::{
    call::{Call, Client},
    shared::Shared,
};

/// Path on the port between hosts that returns the key ranges which a host knows.
pub(crate) const PATH: &str = "/ranges";
/// Number of other hosts that are asked. All of them follow the leader closely.
const MAX_HOSTS: usize = 4;
/// Timeout of a request to another host.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response of another host.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Key ranges by service.
type Ranges = BTreeMap<name::Service, Vec<Range>>;

/// Encodes the key ranges that this host knows.
pub(crate) fn encode_known(shared: &Shared) -> Result<Vec<u8>> {
    let mut encoded = Vec::new();
    ciborium::into_writer(&known(shared), &mut encoded)?;
    Ok(encoded)
}

/// Merges ranges of the store with those that this host and others know.
pub(crate) async fn merge(
    shared: &Rc<Shared>,
    stored: &BTreeMap<name::Service, Assignment>,
) -> BTreeMap<name::Service, Assignment> {
    let mut sources = fetch_from_hosts(shared).await;
    let hosts = sources.len();
    sources.push(known(shared));
    let copy = stored.iter();
    sources.push(
        copy.map(|(service, copy)| (service.clone(), copy.ranges.clone()))
            .collect(),
    );
    let mut merged: BTreeMap<name::Service, Vec<Range>> = BTreeMap::new();
    for (service, ranges) in sources.into_iter().flatten() {
        merged.entry(service).or_default().extend(ranges);
    }
    let merged: BTreeMap<name::Service, Assignment> = merged
        .into_iter()
        .map(|(service, ranges)| (service, Assignment::merge(ranges)))
        .collect();
    let ranges = |assignments: &BTreeMap<name::Service, Assignment>| {
        assignments.values().map(|a| a.ranges.len()).sum::<usize>()
    };
    log::info!(
        stored = ranges(stored), merged = ranges(&merged), hosts = hosts;
        "key ranges recovered from hosts"
    );
    merged
}

fn known(shared: &Shared) -> Ranges {
    let assignments = shared.assignments.borrow();
    let ranges =
        |(service, known): (&name::Service, &Assignment)| (service.clone(), known.ranges.clone());
    assignments.iter().map(ranges).collect()
}

async fn fetch_from_hosts(shared: &Shared) -> Vec<Ranges> {
    let mut addresses: Vec<SocketAddr> = {
        let hosts = shared.hosts.borrow();
        let own = shared.settings.borrow().host.to_string();
        let others = hosts.iter().filter(|(host, _)| **host != own);
        others.filter_map(|(_, host)| host.address).collect()
    };
    addresses.shuffle(&mut *shared.random.borrow_mut());
    let fetched = addresses.into_iter().take(MAX_HOSTS).map(fetch);
    let fetched = future::join_all(fetched).await;
    fetched.into_iter().filter_map(Result::ok).collect()
}

async fn fetch(address: SocketAddr) -> Result<Ranges> {
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
