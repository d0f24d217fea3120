//! Exchange between hosts: each tells the leader how busy keys and targets are, and learns from it
//! what is new in the store. It saves calls to the store; without it, each host reads for itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use ragwortrill_core::{
    name,
    number::Offset,
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{crash::Crash, load::Samples, registration::Incarnation, update::Timing};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    apply,
    call::{Call, Client},
    follow::{self, Subject},
    protocol::Record,
    shared::Shared,
};

/// Path of the exchange on the port between hosts.
pub(crate) const PATH: &str = "/exchange";
/// Pause between an answer and the next report.
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which the leader keeps a report while nothing changes.
const HELD: Duration = Duration::from_millis(250);
/// Hosts up to which that time suffices. With more, it grows in proportion, so that the leader
/// answers as often.
const HELD_HOSTS: u32 = 16;
/// Longest time for which the leader keeps a report.
const MOST_HELD: Duration = Duration::from_millis(550);
/// Longest time for an answer besides that.
const ANSWER: Duration = Duration::from_millis(400);

/// What a host tells the leader.
#[derive(Debug, Deserialize, Serialize)]
struct Report {
    /// Offsets from which the host wants records.
    from: BTreeMap<Subject, u64>,
    /// Requests by service and bucket of keys, since the last report.
    heat: BTreeMap<name::Service, BTreeMap<u16, u32>>,
    /// Work times by target, since the last report.
    work: Vec<(name::Target, f64, u32)>,
    /// Crashes that the host saw, since the last report.
    crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    /// Suspected requests that were answered, since the last report.
    acquitted: BTreeSet<Fingerprint>,
}

/// What the leader tells a host.
#[derive(Debug, Deserialize, Serialize)]
struct News {
    /// Microseconds for which the leader kept the host's report.
    held: u64,
    topics: BTreeMap<Subject, Topic>,
    /// Requests that may crash their targets.
    suspects: BTreeSet<Fingerprint>,
}

/// News of one topic.
#[derive(Debug, Deserialize, Serialize)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>, u64)>,
    /// Offset from which to read on.
    next: u64,
    /// Microseconds since the store told what is newest.
    age: u64,
}

/// Exchanges with the leader as long as the host runs.
pub(crate) async fn exchange(shared: Rc<Shared>) {
    let mut client: Option<(SocketAddr, Client)> = None;
    loop {
        sleep(PAUSE).await;
        let report = report(&shared);
        let Some(address) = leader(&shared) else {
            // The host leads itself or knows no leader: what it saw counts for its own judgement.
            merge_crashes(&shared, report.crashes, report.acquitted);
            client = None;
            continue;
        };
        let (_, known) = match client.take() {
            Some(known) if known.0 == address => client.insert(known),
            _ => client.insert((address, Client::new(address))),
        };
        if let Err(error) = tell(&shared, known, &report).await {
            log::debug!(leader = address.to_string(), error = format!("{error:#}"); "no exchange with the leader");
        }
    }
}

/// Returns the leader's address, unless this host leads.
fn leader(shared: &Shared) -> Option<SocketAddr> {
    let leader = shared.leader.borrow().clone()?;
    let is_own = leader == shared.settings.borrow().host.as_str();
    let hosts = shared.hosts.borrow();
    let address = hosts.get(&leader).and_then(|host| host.address);
    address.filter(|_| !is_own)
}

/// Returns how long the leader keeps a report.
fn held(shared: &Shared) -> Duration {
    let hosts = shared.hosts.borrow().len() as u32;
    (HELD * hosts.max(HELD_HOSTS) / HELD_HOSTS).min(MOST_HELD)
}

fn report(shared: &Shared) -> Report {
    let from = |subject| {
        let mirrors = shared.mirrors.borrow();
        let next = mirrors.get(&subject).and_then(|mirror| mirror.next());
        next.map(|next| (subject, next.0))
    };
    let (crashes, acquitted) = shared.crashes_seen.borrow_mut().take_reports();
    let mut heat = shared.heat.borrow_mut();
    let mut peers = shared.peers.borrow_mut();
    let work = peers.iter_mut().filter_map(|(life, peer)| {
        let samples = peer.load.take_samples();
        (samples.count > 0).then(|| (life.id.clone(), samples.sum_us, samples.count))
    });
    Report {
        from: Subject::ALL.into_iter().filter_map(from).collect(),
        work: work.collect(),
        crashes: crashes
            .into_iter()
            .map(|crash| (crash.target, crash.in_flight))
            .collect(),
        acquitted,
        heat: heat
            .iter_mut()
            .map(|(service, heat)| (service.clone(), heat.take_unsent()))
            .collect(),
    }
}

async fn tell(shared: &Rc<Shared>, client: &mut Client, report: &Report) -> Result<()> {
    let mut body = Vec::new();
    ciborium::into_writer(report, &mut body)?;
    let call = Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    };
    let sent = shared.now();
    let reply = client.call(&call, held(shared) + ANSWER).await?;
    if reply.status != 200 {
        bail!("status {}", reply.status);
    }
    let news: News =
        ciborium::from_reader(reply.body.as_ref()).context("the news can't be read")?;
    shared.crashes_seen.borrow_mut().set_suspects(news.suspects);
    for (subject, topic) in news.topics {
        let stamp = Timing {
            held: Span(news.held),
            age: Span(topic.age),
        };
        let stated_at = stamp.confirmed_at(sent).min(shared.now());
        learn(shared, stated_at, subject, topic);
    }
    Ok(())
}

/// Adds what a host saw of crashes to the crashes_merged.
fn merge_crashes(
    shared: &Shared,
    crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    acquitted: BTreeSet<Fingerprint>,
) {
    let now = shared.now();
    let mut crashes_merged = shared.crashes_merged.borrow_mut();
    for (life, in_flight) in crashes {
        log::info!(
            target = life.id.as_str(), born = life.start_ms, in_flight = in_flight.len();
            "target crashed with requests in flight"
        );
        crashes_merged.add(
            now,
            Crash {
                target: life,
                in_flight,
            },
        );
    }
    for fingerprint in acquitted {
        crashes_merged.clear_suspect(fingerprint);
    }
    shared
        .crashes_seen
        .borrow_mut()
        .set_suspects(crashes_merged.suspects());
}

fn learn(shared: &Rc<Shared>, stated_at: Instant, subject: Subject, topic: Topic) {
    let record = |(key, value, offset): (String, Option<Vec<u8>>, u64)| Record {
        key,
        value: value.map(Bytes::from),
        offset: Offset(offset),
    };
    let records: Vec<Record> = topic.records.into_iter().map(record).collect();
    let known = follow::next(shared, subject);
    if known.is_none_or(|known| known.0 > topic.next) {
        return;
    }
    apply::apply(shared, subject, records, false);
    follow::advance(shared, subject, Offset(topic.next), stated_at);
}

/// Answers a host's report, as soon as the configuration or an owner changes, or after a time.
pub(crate) async fn answer(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let arrived = shared.now();
    let report: Report = ciborium::from_reader(body).context("the report can't be read")?;
    let is_new = |subject| {
        let from = report.from.get(&subject).copied();
        follow::next(shared, subject).map(|next| next.0) > from
    };
    let is_new = is_new(Subject::Ownership) || is_new(Subject::Operators);
    if !is_new && !shared.is_stopping.get() {
        let _ = timeout(held(shared), shared.news.notified()).await;
    }
    let now = shared.now();
    let mut heat = shared.heat.borrow_mut();
    for (service, counts) in &report.heat {
        heat.entry(service.clone()).or_default().merge(now, counts);
    }
    drop(heat);
    for (id, sum, count) in report.work {
        let fleet = shared.fleet.borrow();
        let life = fleet
            .get(&id)
            .map(|target| target.registration.incarnation.clone());
        if let Some(life) = life {
            shared.with_peer(&life, |peer| {
                peer.load.add_samples(Samples { sum_us: sum, count })
            });
        }
    }
    merge_crashes(shared, report.crashes, report.acquitted);
    let mirrors = shared.mirrors.borrow();
    let topic = |(subject, from): (&Subject, &u64)| {
        let mirror = mirrors.get(subject)?;
        let next = mirror.next()?;
        let records = mirror.since(Offset(*from))?;
        let record = |r: Record| (r.key, r.value.map(|value| value.to_vec()), r.offset.0);
        let topic = Topic {
            records: records.into_iter().map(record).collect(),
            next: next.0,
            age: now.since(mirror.read_at()).0,
        };
        Some((*subject, topic))
    };
    let news = News {
        held: now.since(arrived).0,
        topics: report.from.iter().filter_map(topic).collect(),
        suspects: shared.crashes_merged.borrow().suspects(),
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&news, &mut encoded)?;
    Ok(encoded)
}
