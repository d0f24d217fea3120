//! Exchange between hosts: each reports the load of keys and targets to the leader, and receives
//! the store's new records from it. This saves calls to the store; without a leader, each host
//! reads the store itself.

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
    number::{Offset, Timeline},
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{
    crash::{Crash, Report as Crashes, Verdicts},
    load::Samples,
    pace,
    registration::Incarnation,
    update::Timing,
};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tokio::time::{sleep, timeout};

use crate::{
    apply,
    call::{Call, Client},
    compression, crash,
    follow::{self, Topic},
    lease::Rank,
    leaving,
    notice::{Digests, Notices},
    protocol::Record,
    rate_limit,
    replica::Replica,
    shared::Shared,
    stop::Phase,
};

/// Path of the exchange on the port between hosts.
pub(crate) const PATH: &str = "/exchange";
/// Delay between the leader's response and the next report.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest delay between a report without a response and the next one. It doubles with each failure.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the leader holds a report before it responds, while nothing changes.
const HOLD: Duration = Duration::from_millis(250);
/// Number of hosts up to which reports are held for `HOLD`. With more hosts, the time grows in
/// proportion, so that the leader's rate of responses stays the same.
const HOLD_HOSTS: u32 = 16;
/// Longest time for which the leader holds a report.
const MAX_HOLD: Duration = Duration::from_millis(550);
/// Time allowed for the leader's response in addition to the time for which it holds the report.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time from the leader's response until it has arrived, after which the host reads the store itself.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Largest response of the leader, in which it sends all records that a host lacks.
const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// Number of requests by service and bucket of keys.
type Traffic = BTreeMap<name::Service, BTreeMap<u16, u32>>;
/// Sum (in microseconds) and number of the work times of a target's requests.
type WorkTime = (name::Target, f64, u32);

/// Report of a host to the leader.
#[derive(Debug, Deserialize, Serialize)]
pub struct Report {
    /// Timeline of the store to which the offsets belong.
    #[serde(default)]
    timeline: Timeline,
    /// Offset from which the host needs records, by topic.
    #[serde(rename = "from")]
    offsets: BTreeMap<Topic, u64>,
    /// Topics that the host has not read and can't read from the store.
    #[serde(default)]
    unread: BTreeSet<Topic>,
    /// Whether the host reads compressed records. Hosts of earlier releases don't.
    #[serde(default)]
    reads_compressed: bool,
    /// Hashes of the notices that the host has from this leader; none if it needs all of them, as
    /// hosts of earlier releases do in each answer.
    #[serde(default)]
    known: Option<Digests>,
    /// Number of requests since the last report, by service and bucket of keys.
    #[serde(rename = "heat")]
    traffic: Traffic,
    /// Work times of requests since the last report.
    #[serde(rename = "work")]
    work_times: Vec<WorkTime>,
    /// Crashes of targets that the host observed and no leader has acknowledged.
    crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    /// Fingerprints of suspected requests that were answered, and no leader has acknowledged.
    acquitted: BTreeSet<Fingerprint>,
    /// Quarantined fingerprints of which the store has no record yet.
    #[serde(default)]
    quarantined: BTreeSet<Fingerprint>,
    /// Version of the leader's verdicts that the host has.
    #[serde(default)]
    verdicts: u64,
    /// Rate limits that targets state to the host.
    #[serde(default)]
    rate_limits: Vec<rate_limit::Relayed>,
    /// Targets that stated to the host that they leave.
    #[serde(default)]
    leaving: Vec<Incarnation>,
}

/// The leader's response to a report.
#[derive(Debug, Deserialize, Serialize)]
pub struct Update {
    /// Timeline of the store to which the offsets belong.
    #[serde(default)]
    timeline: Timeline,
    /// Microseconds for which the leader held the report.
    #[serde(rename = "held")]
    held_us: u64,
    topics: BTreeMap<Topic, Changes>,
    /// Hashes of all notices of the leader. A part whose hash the host reported is left out below.
    #[serde(default)]
    digests: Option<Digests>,
    /// Fingerprints of requests that may crash their targets.
    suspects: BTreeSet<Fingerprint>,
    /// Suspects whose requests are refused until their crashes are evaluated.
    #[serde(default)]
    held_suspects: BTreeSet<Fingerprint>,
    /// Fingerprints of requests that crash their targets.
    #[serde(default)]
    quarantined: BTreeSet<Fingerprint>,
    /// Version of the leader's verdicts.
    #[serde(default)]
    verdicts: u64,
    /// Rate limits that targets state to any host.
    #[serde(default)]
    rate_limits: Vec<rate_limit::Relayed>,
    /// Targets that stated to any host that they leave.
    #[serde(default)]
    leaving: Vec<Incarnation>,
}

/// New records of one topic.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
pub struct Changes {
    /// Keys, values and offsets of the records.
    #[serde_as(as = "Vec<(_, Option<serde_with::Bytes>, _)>")]
    records: Vec<(String, Option<Vec<u8>>, u64)>,
    /// Keys, compressed values and offsets of large records.
    #[serde(default)]
    #[serde_as(as = "Vec<(_, serde_with::Bytes, _)>")]
    compressed: Vec<(String, Vec<u8>, u64)>,
    /// Whether these are the newest records of all keys.
    #[serde(default)]
    is_complete: bool,
    /// Offset of the next record to read.
    #[serde(rename = "next")]
    next_offset: u64,
    /// Microseconds since the time as of which the leader's replica is known to be up to date with
    /// the store.
    #[serde(rename = "age")]
    age_us: u64,
}

impl Changes {
    /// Returns what a host lacks that has all records before an offset, or has none if there is no
    /// offset. Returns none if the replica can't tell.
    pub fn since(
        replica: &Replica,
        from: Option<Offset>,
        now: Instant,
        compresses: bool,
    ) -> Option<Self> {
        let next = replica.next_offset()?;
        let records = match from {
            Some(from) => replica.changes_since(from)?,
            None => replica.all()?,
        };
        let mut plain = Vec::new();
        let mut compressed = Vec::new();
        for record in records {
            let packed = compresses.then(|| replica.compressed(&record)).flatten();
            let offset = record.offset.0;
            match packed {
                Some(packed) => compressed.push((record.key, packed.to_vec(), offset)),
                None => plain.push((record.key, record.value.map(Vec::from), offset)),
            }
        }
        Some(Self {
            records: plain,
            compressed,
            is_complete: from.is_none(),
            next_offset: next.0,
            age_us: now.since(replica.read_at()).0,
        })
    }

    /// Returns the records, in their order.
    pub fn into_records(self) -> Result<Vec<Record>> {
        let record = |(key, value, offset): (String, Option<Vec<u8>>, u64)| Record {
            key,
            value: value.map(Bytes::from),
            offset: Offset(offset),
        };
        let mut records: Vec<Record> = self.records.into_iter().map(record).collect();
        for (key, value, offset) in self.compressed {
            records.push(Record {
                key,
                value: Some(compression::decompress(&value)?),
                offset: Offset(offset),
            });
        }
        records.sort_by_key(|record| record.offset);
        Ok(records)
    }
}

/// What a host has of the leader's notices.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Hashes of the notices; none if the leader is of an earlier release and sends all of them in each
    /// answer.
    pub digests: Option<Digests>,
    /// Verdicts on suspected requests.
    pub verdicts: Verdicts,
    /// Version of the verdicts, by which the leader sees whether it has news for the host.
    pub version: u64,
}

impl Known {
    /// Records an update. Verdicts are left out of it if the host has them.
    pub fn learn(&mut self, update: &Update) {
        let (known, current) = (self.digests.as_ref(), update.digests.as_ref());
        let has_verdicts = known
            .zip(current)
            .is_some_and(|(known, current)| known.has_verdicts_of(current));
        if !has_verdicts {
            self.verdicts = Verdicts {
                suspects: update.suspects.clone(),
                held: update.held_suspects.clone(),
            };
        }
        self.digests = update.digests;
        self.version = update.verdicts;
    }
}

/// Sends reports to the leader for as long as the host runs.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut client: Option<(SocketAddr, Client)> = None;
    let mut leader = (None, Rank::default());
    let mut known = Known::default();
    let mut delay = REPORT_INTERVAL;
    loop {
        sleep(delay).await;
        // A host that leads again has forgotten what it knew if another one led meanwhile.
        let current = (shared.leader.borrow().clone(), shared.latest_term.get());
        if current != leader {
            // The new leader knows none of the crashes.
            shared.crash_observer.borrow_mut().report_again();
            leader = current;
            known = Known::default();
            delay = REPORT_INTERVAL;
        }
        let crashes = shared.crash_observer.borrow().report();
        let Some(address) = leader_address(&shared) else {
            // The host leads itself or knows no leader, so it merges the crashes that it observed
            // itself.
            crash::merge(&shared, crashes.clone());
            let mut observer = shared.crash_observer.borrow_mut();
            observer.acknowledge(shared.now(), &crashes);
            drop(observer);
            crash::evaluate(&shared);
            shared.fallback.borrow_mut().answer_arrived();
            known = Known::default();
            client = None;
            delay = REPORT_INTERVAL;
            continue;
        };
        let report = take_report(&shared, &crashes, &known);
        let (_, connected) = match client.take() {
            Some(known) if known.0 == address => client.insert(known),
            _ => client.insert((address, Client::new(address, MAX_UPDATE_BYTES))),
        };
        match send_report(&shared, connected, &report, &mut known).await {
            Ok(()) => {
                delay = REPORT_INTERVAL;
                shared.fallback.borrow_mut().answer_arrived();
                let mut observer = shared.crash_observer.borrow_mut();
                observer.acknowledge(shared.now(), &crashes);
            }
            Err(error) => {
                delay = (delay * 2).min(MAX_REPORT_INTERVAL);
                // A part of the answer may have been applied.
                known = Known::default();
                let now = shared.now();
                shared.fallback.borrow_mut().answer_failed(now);
                log::debug!(leader = address.to_string(), error = format!("{error:#}"); "exchange with the leader failed; retrying")
            }
        }
    }
}

/// Returns the leader's address, unless this host leads.
pub(crate) fn leader_address(shared: &Shared) -> Option<SocketAddr> {
    let leader = shared.leader.borrow().clone()?;
    let is_own = leader == shared.settings.borrow().host.as_str();
    let hosts = shared.hosts.borrow();
    let address = hosts.get(&leader).and_then(|host| host.address);
    address.filter(|_| !is_own)
}

/// Returns how long the leader holds a report while nothing changes.
fn hold_time(shared: &Shared) -> Duration {
    let hosts = shared.hosts.borrow().len() as u32;
    let usual = (HOLD * hosts.max(HOLD_HOSTS) / HOLD_HOSTS).min(MAX_HOLD);
    usual.max(round(shared))
}

/// Returns the time in which the leader answers each host once.
fn round(shared: &Shared) -> Duration {
    pace::round(shared.hosts.borrow().len()).as_duration()
}

fn take_report(shared: &Shared, crashes: &Crashes, known: &Known) -> Report {
    let offset = |topic| {
        let replicas = shared.replicas.borrow();
        let next = replicas
            .get(&topic)
            .and_then(|replica| replica.next_offset());
        next.map(|next| (topic, next.0))
    };
    let rate_limits = rate_limit::own(shared);
    let quarantined = shared.crash_observer.borrow().unwritten(shared.now());
    let mut traffic = shared.traffic.borrow_mut();
    let mut endpoints = shared.endpoints.borrow_mut();
    let work_times = endpoints.iter_mut().filter_map(|(incarnation, endpoint)| {
        let samples = endpoint.load.take_samples();
        (samples.count > 0).then(|| (incarnation.id.clone(), samples.sum_us, samples.count))
    });
    let is_unread = |topic: &Topic| offset(*topic).is_none();
    let failed = shared.failed_topics.borrow();
    Report {
        timeline: shared.timeline.get().unwrap_or_default(),
        unread: failed.iter().copied().filter(is_unread).collect(),
        reads_compressed: true,
        known: known.digests,
        offsets: Topic::ALL.into_iter().filter_map(offset).collect(),
        work_times: work_times.collect(),
        crashes: crashes
            .crashes
            .iter()
            .map(|crash| (crash.target.clone(), crash.in_flight.clone()))
            .collect(),
        acquitted: crashes.answered.clone(),
        quarantined: quarantined.into_iter().collect(),
        verdicts: known.version,
        rate_limits,
        leaving: leaving::own(shared),
        traffic: traffic
            .iter_mut()
            .map(|(service, traffic)| (service.clone(), traffic.take_unsent()))
            .collect(),
    }
}

/// Sends a report and applies the leader's response. `known` is what the host has of the leader's
/// notices.
async fn send_report(
    shared: &Rc<Shared>,
    client: &mut Client,
    report: &Report,
    known: &mut Known,
) -> Result<()> {
    let mut body = Vec::new();
    ciborium::into_writer(report, &mut body)?;
    let call = Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    };
    let sent = shared.now();
    let usual = hold_time(shared) + round(shared);
    let due = sent + Span::from_micros((usual + DELIVERY_TIME).as_micros() as u64);
    shared.fallback.borrow_mut().expect_answer(due);
    let reply = client.call(&call, usual + RESPONSE_MARGIN).await?;
    if reply.status != 200 {
        bail!("the leader answered with status {}", reply.status);
    }
    let update: Update = ciborium::from_reader(reply.body.as_ref())
        .context("the leader's response can't be decoded")?;
    let now = shared.now();
    known.learn(&update);
    let mut observer = shared.crash_observer.borrow_mut();
    for fingerprint in update.quarantined {
        observer.quarantine(now, fingerprint, false);
    }
    observer.set_verdicts(now, known.verdicts.clone());
    drop(observer);
    let timing = Timing {
        held: Span(update.held_us),
        age: Span::ZERO,
    };
    let told_at = timing.confirmed_at(sent).min(shared.now());
    rate_limit::merge(shared, told_at, update.rate_limits);
    leaving::merge(shared, update.leaving);
    if shared
        .timeline
        .get()
        .is_none_or(|known| known < update.timeline)
    {
        shared.observe_timeline(update.timeline);
        return Ok(());
    }
    if shared.timeline.get() != Some(update.timeline) {
        return Ok(());
    }
    for (topic, changes) in update.topics {
        let timing = Timing {
            held: Span(update.held_us),
            age: Span(changes.age_us),
        };
        let confirmed_at = timing.confirmed_at(sent).min(shared.now());
        apply_changes(shared, confirmed_at, topic, changes)?;
    }
    Ok(())
}

fn apply_changes(
    shared: &Rc<Shared>,
    confirmed_at: Instant,
    topic: Topic,
    changes: Changes,
) -> Result<()> {
    let known = follow::next_offset(shared, topic);
    let (is_complete, next) = (changes.is_complete, Offset(changes.next_offset));
    if !known.map_or(is_complete, |known| known <= next) {
        return Ok(());
    }
    apply::apply(shared, topic, changes.into_records()?, is_complete);
    follow::advance(shared, topic, next, confirmed_at);
    Ok(())
}

/// Returns what this host, which leads, tells other hosts.
fn notices(shared: &Shared, now: Instant) -> Notices {
    Notices {
        verdicts: shared.crash_aggregator.borrow().verdicts(),
        quarantined: shared.crash_observer.borrow().news(now),
        rate_limits: rate_limit::known(shared),
        leaving: leaving::known(shared),
    }
}

fn reported_crashes(
    crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    answered: BTreeSet<Fingerprint>,
) -> Crashes {
    let crash = |(target, in_flight)| Crash { target, in_flight };
    Crashes {
        crashes: crashes.into_iter().map(crash).collect(),
        answered,
    }
}

/// Waits until this host may answer one more report. A report that is dropped while others are before
/// it takes no turn.
async fn await_turn(shared: &Shared) {
    let due = shared.now();
    let mut pace = shared.pace.lock().await;
    // Turns count from when the reports were due, so a late event loop does not lengthen the round.
    let turn = pace.allot(due);
    sleep(turn.since(shared.now()).as_duration()).await;
}

/// Adds the traffic and the work times of another host to those of this host.
fn merge_load(shared: &Shared, now: Instant, traffic: &Traffic, work_times: &[WorkTime]) {
    let mut known = shared.traffic.borrow_mut();
    for (service, counts) in traffic {
        known.entry(service.clone()).or_default().merge(now, counts);
    }
    drop(known);
    for (id, sum_us, count) in work_times {
        let fleet = shared.fleet.borrow();
        let target = fleet.get(id);
        let incarnation = target.map(|target| target.registration.incarnation.clone());
        drop(fleet);
        let samples = Samples {
            sum_us: *sum_us,
            count: *count,
        };
        if let Some(incarnation) = incarnation {
            shared.with_endpoint(&incarnation, |endpoint| endpoint.load.add_samples(samples));
        }
    }
}

/// Responds to a host's report when the operators' or ownership topic has a new record, or after
/// `hold_time`, at the pace of [`pace::Pace`]. What is new by then is gathered in one response.
pub(crate) async fn handle_report(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let received_at = shared.now();
    let report: Report = ciborium::from_reader(body).context("the report can't be read")?;
    shared.metrics.record_report(body.len());
    shared.tally.add_report(body.len());
    rate_limit::merge(shared, received_at, report.rate_limits.clone());
    leaving::merge(shared, report.leaving);
    let is_new = |topic| {
        let from = report.offsets.get(&topic).copied();
        follow::next_offset(shared, topic).map(|next| next.0) > from
    };
    crash::merge(shared, reported_crashes(report.crashes, report.acquitted));
    let version = shared.crash_aggregator.borrow().version();
    let is_new = is_new(Topic::Ownership) || is_new(Topic::Operators) || report.verdicts != version;
    for fingerprint in report.quarantined {
        let mut observer = shared.crash_observer.borrow_mut();
        observer.quarantine(received_at, fingerprint, false);
    }
    merge_load(shared, received_at, &report.traffic, &report.work_times);
    if !is_new && !shared.stop.has_reached(Phase::Stopping) {
        let _ = timeout(hold_time(shared), shared.update_ready.notified()).await;
    }
    await_turn(shared).await;
    let now = shared.now();
    let replicas = shared.replicas.borrow();
    let changes = |topic: Topic, from: Option<u64>| {
        let replica = replicas.get(&topic)?;
        Some((
            topic,
            Changes::since(replica, from.map(Offset), now, report.reads_compressed)?,
        ))
    };
    let timeline = shared.timeline.get().unwrap_or_default();
    // Offsets of another timeline say nothing about what the host lacks.
    let is_same = report.timeline == timeline;
    let offsets = report.offsets.iter().filter(|_| is_same);
    let unread = report.unread.iter().filter(|_| is_same);
    let requested = offsets
        .map(|(topic, from)| (*topic, Some(*from)))
        .chain(unread.map(|topic| (*topic, None)));
    let mut notices = notices(shared, now);
    let digests = notices.digests(now);
    if let Some(known) = &report.known {
        notices.omit(now, known, &report.rate_limits);
    }
    let update = Update {
        timeline,
        held_us: now.since(received_at).0,
        topics: requested
            .filter_map(|(topic, from)| changes(topic, from))
            .collect(),
        digests: Some(digests),
        suspects: notices.verdicts.suspects,
        held_suspects: notices.verdicts.held,
        quarantined: notices.quarantined.into_iter().collect(),
        verdicts: shared.crash_aggregator.borrow().version(),
        rate_limits: notices.rate_limits,
        leaving: notices.leaving,
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&update, &mut encoded)?;
    shared.metrics.record_report_answer(encoded.len());
    shared.tally.add_answer(encoded.len());
    Ok(encoded)
}
