//! Tasks that follow the topics of the platform's store.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use anyhow::Result;
use ragwortrill_core::{
    name,
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::{assignment::Range, fleet::Change};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    dialect::{Command, Record, Tail},
    place,
    reign::{TERM, Term},
    shared::{Host, Shared},
    store::Store,
};

/// Longest wait of a read for a new record. A silent connection is noticed soon after.
const WAIT: Span = Span::from_millis(2_000);
/// Pause between two reads of the targets' entries, which change with every heartbeat.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed call. It doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_millis(300);
/// Time that is left of the drain bound when news of the targets are too old and an own read
/// takes their place.
const DRAIN_MARGIN: Span = Span::from_millis(700);
/// Age up to which what the leader tells replaces an own read that would wait for news.
const WAITING_AGE: Span = Span::from_millis(4_300);
/// Pause between two looks at whether the leader still tells what is new.
const RELAY_LOOK: Duration = Duration::from_millis(150);

/// Age of an answer of the store when it is read.
const ANSWER_AGE: Span = Span::from_millis(20);

/// Key prefixes of the ownership topic.
pub(crate) const SERVICE: &str = "service/";
pub(crate) const HOST: &str = "host/";
pub(crate) const BARRED: &str = "barred/";

/// A topic that hosts follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Subject {
    /// The operators' configuration and commands.
    Operators,
    /// Entries of targets.
    Targets,
    /// Assignments of keys and the hosts of the system.
    Ownership,
}

impl Subject {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Ownership];

    /// Returns the name for metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Ownership => "ownership",
        }
    }

    fn topic(self, shared: &Shared) -> &'static str {
        let topics = &shared.dialect.topics;
        match self {
            Self::Operators => topics.operators,
            Self::Targets => topics.targets,
            Self::Ownership => topics.ownership,
        }
    }

    /// Returns how long a read waits. Targets change so often that a read would never wait.
    fn wait(self) -> Span {
        match self {
            Self::Targets => Span::ZERO,
            _ => WAIT,
        }
    }

    /// Returns the age up to which what the leader tells replaces an own read.
    fn most_age(self, shared: &Shared) -> Span {
        match self {
            Self::Targets => shared.settings.borrow().bounds.drain - DRAIN_MARGIN,
            _ => WAITING_AGE,
        }
    }
}

/// Follows a topic, by reading it or by what the leader tells.
pub(crate) async fn follow(shared: Rc<Shared>, subject: Subject) {
    let mut store = Store::new(shared.clone());
    let mut backoff = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        if is_told(&shared, subject) {
            sleep(RELAY_LOOK).await;
            if subject == Subject::Targets {
                expire(&shared);
            }
            continue;
        }
        // A read that waits would hide the store's return for as long.
        let wait = if is_lost { Span::ZERO } else { subject.wait() };
        let outcome = step(&shared, &mut store, subject, wait).await;
        note_store(&shared, outcome.is_ok());
        let topic = subject.topic(&shared);
        match outcome {
            Ok(()) => {
                if is_lost {
                    log::info!(topic = topic; "store regained");
                }
                is_lost = false;
                backoff = FIRST_PAUSE;
                if subject == Subject::Targets {
                    pause(&shared).await;
                }
            }
            Err(error) => {
                if !is_lost {
                    log::warn!(topic = topic, error = format!("{error:#}"); "store lost");
                }
                is_lost = true;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MOST_PAUSE);
            }
        }
    }
}

/// Tells whether the leader's news of a topic are new enough.
fn is_told(shared: &Shared, subject: Subject) -> bool {
    let leader = shared.leader.borrow();
    let own = shared.settings.borrow().host.clone();
    if leader
        .as_deref()
        .is_none_or(|leader| leader == own.as_str())
    {
        return false;
    }
    let told = shared.told.borrow();
    let read_at = told.get(&subject).copied().unwrap_or_default();
    shared.now().since(read_at) < subject.most_age(shared)
}

/// Returns the offset from which a topic is read on.
pub(crate) fn next(shared: &Shared, subject: Subject) -> Option<Offset> {
    let mirrors = shared.mirrors.borrow();
    mirrors.get(&subject).and_then(|mirror| mirror.next())
}

/// Notes what the leader told: everything before an offset, as the store had it at a moment.
pub(crate) fn advance(shared: &Shared, subject: Subject, next: Offset, read_at: Instant) {
    let mut mirrors = shared.mirrors.borrow_mut();
    mirrors.entry(subject).or_default().advance(next, read_at);
    shared.told.borrow_mut().insert(subject, read_at);
    if subject == Subject::Targets && is_told(shared, subject) {
        note_store(shared, true);
    }
}

/// Applies records. A complete listing has the newest record of every key.
pub(crate) fn apply(shared: &Rc<Shared>, subject: Subject, records: Vec<Record>, complete: bool) {
    match subject {
        Subject::Operators => apply_commands(shared, records, complete),
        Subject::Targets => apply_entries(shared, records, complete),
        Subject::Ownership => apply_ownership(shared, records),
    }
    place::serve(shared);
}

/// Notes a record for the other hosts. Returns whether it is newer than the one known.
fn note(shared: &Shared, subject: Subject, record: &Record) -> bool {
    let mut mirrors = shared.mirrors.borrow_mut();
    mirrors.entry(subject).or_default().note(record)
}

/// Waits until the targets' entries are read again, and removes meanwhile those that did not come
/// back in time.
async fn pause(shared: &Shared) {
    let now = shared.now();
    let expires_at = shared.fleet.borrow().expires_at();
    let left = expires_at.map(|at| at.since(now).as_duration());
    let Some(left) = left.filter(|left| *left < TARGETS_PAUSE) else {
        return sleep(TARGETS_PAUSE).await;
    };
    sleep(left).await;
    expire(shared);
    sleep(TARGETS_PAUSE - left).await;
}

/// Reads a topic once.
async fn step(shared: &Rc<Shared>, store: &mut Store, subject: Subject, wait: Span) -> Result<()> {
    let topic = subject.topic(shared);
    let sent = shared.now();
    let Some(from) = next(shared, subject) else {
        let (records, next) = store.newest(topic).await?;
        apply(shared, subject, records, true);
        let mut mirrors = shared.mirrors.borrow_mut();
        mirrors.entry(subject).or_default().advance(next, sent);
        return Ok(());
    };
    match store.read(topic, from, wait).await? {
        Tail::Records(records, next) => {
            let read_at = shared.now() - ANSWER_AGE;
            apply(shared, subject, records, false);
            let mut mirrors = shared.mirrors.borrow_mut();
            mirrors
                .entry(subject)
                .or_default()
                .advance(next, read_at.max(sent));
        }
        Tail::Expired => {
            log::info!(topic = topic, from = from.0; "records have expired; the newest are read");
            let mut mirrors = shared.mirrors.borrow_mut();
            mirrors.entry(subject).or_default().forget();
        }
    }
    Ok(())
}

fn apply_commands(shared: &Rc<Shared>, records: Vec<Record>, is_complete: bool) {
    let mut evacuated = BTreeSet::new();
    for record in records {
        note(shared, Subject::Operators, &record);
        match ((shared.dialect.command)(&record.key), record.value) {
            (Some(Command::Config), Some(value)) => apply_config(shared, &value),
            (Some(Command::Evacuate(data_centre)), Some(_)) => {
                evacuate(shared, &data_centre);
                evacuated.insert(data_centre);
            }
            (Some(Command::Evacuate(data_centre)), None) => restore(shared, &data_centre),
            _ => {}
        }
    }
    if is_complete {
        let known = shared.fleet.borrow().evacuated().clone();
        for data_centre in known.difference(&evacuated) {
            restore(shared, data_centre);
        }
    }
}

fn apply_config(shared: &Shared, value: &[u8]) {
    let config = match (shared.dialect.config)(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!(error = format!("{error:#}"); "configuration can't be read");
            return;
        }
    };
    let known = shared.config.borrow().as_ref().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    log::info!(version = config.version.0, routes = config.routes.len(); "configuration in force");
    *shared.config.borrow_mut() = Some(Rc::new(config));
}

fn evacuate(shared: &Shared, data_centre: &name::DataCentre) {
    if shared.fleet.borrow_mut().evacuate(data_centre) {
        log::info!(data_centre = data_centre.as_str(); "data centre evacuated");
    }
}

fn restore(shared: &Rc<Shared>, data_centre: &name::DataCentre) {
    let now = shared.now();
    if shared.fleet.borrow_mut().restore(now, data_centre) {
        log::info!(data_centre = data_centre.as_str(); "evacuation ended");
    }
    place::serve(shared);
}

fn apply_entries(shared: &Rc<Shared>, records: Vec<Record>, is_complete: bool) {
    let now = shared.now();
    let mut listed = BTreeSet::new();
    for record in records {
        let Ok(id) = record.key.parse::<name::Target>() else {
            continue;
        };
        let entry = record
            .value
            .as_deref()
            .and_then(|value| decode(shared, &record.key, value));
        if entry.is_some() {
            listed.insert(id.clone());
        }
        let earlier = shared
            .fleet
            .borrow()
            .get(&id)
            .map(|t| t.registration.life.clone());
        let change = shared.fleet.borrow_mut().apply(now, &id, entry);
        if let Some(earlier) = earlier.filter(|_| change == Change::Started) {
            shared.witness.borrow_mut().ended(now, &earlier);
        }
        if change != Change::None {
            note(shared, Subject::Targets, &record);
            note_change(shared, now, &id, change);
        }
    }
    if is_complete {
        for id in shared.fleet.borrow_mut().retain(now, &listed) {
            log::info!(target = id.as_str(); "target not listed");
        }
    }
    shared.knows_targets.set(true);
}

fn decode(
    shared: &Shared,
    key: &str,
    value: &[u8],
) -> Option<ragwortrill_router::registration::Registration> {
    match (shared.dialect.registration)(key, value) {
        Ok(registration) => Some(registration),
        Err(error) => {
            log::warn!(target = key, error = format!("{error:#}"); "entry can't be read");
            None
        }
    }
}

fn note_change(shared: &Shared, now: Instant, id: &name::Target, change: Change) {
    let fleet = shared.fleet.borrow();
    let target = fleet.get(id);
    log::info!(
        target = id.as_str(), change = format!("{change:?}"),
        service = target.map_or("", |t| t.registration.service.as_str()),
        cold_ms = target.map_or(0, |t| t.cold_until.since(now).as_millis());
        "target changed"
    );
}

/// Notes whether the store answered. Entries that lapse while it does not may come back.
fn note_store(shared: &Shared, answered: bool) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    match answered {
        true => fleet.store_answered(now),
        false => fleet.store_failed(now),
    }
    drop(fleet);
    expire(shared);
}

fn expire(shared: &Shared) {
    let now = shared.now();
    for id in shared.fleet.borrow_mut().expire(now) {
        log::info!(target = id.as_str(); "target did not come back after the store's outage");
    }
}

fn apply_ownership(shared: &Rc<Shared>, records: Vec<Record>) {
    let mut ranges = 0;
    for record in records {
        // A listing may be newer than the records that are read after it.
        if !note(shared, Subject::Ownership, &record) {
            continue;
        }
        if let Some(host) = record.key.strip_prefix(HOST) {
            apply_host(shared, host, record.value.as_deref());
        } else if let Some(service) = service(&record.key) {
            ranges += 1;
            apply_range(shared, service, &record);
        } else if let Some(barred) = record.key.strip_prefix(BARRED) {
            apply_barred(shared, barred);
        } else if record.key == TERM {
            apply_term(shared, record.value.as_deref());
        }
    }
    if ranges > 0 {
        log::info!(ranges = ranges; "ranges known");
    }
}

/// Returns the service of a range's key.
pub(crate) fn service(key: &str) -> Option<name::Service> {
    let (service, _) = key.strip_prefix(SERVICE)?.split_once('/')?;
    service.parse().ok()
}

fn apply_barred(shared: &Shared, fingerprint: &str) {
    if let Ok(parsed) = fingerprint.parse() {
        log::warn!(fingerprint = fingerprint; "requests are barred: they crash their targets");
        shared.witness.borrow_mut().bar(shared.now(), parsed);
    }
}

fn apply_host(shared: &Shared, host: &str, value: Option<&[u8]>) {
    let mut hosts = shared.hosts.borrow_mut();
    let before = hosts.len();
    match value {
        Some(value) => {
            let known = serde_json::from_slice(value).unwrap_or_else(|error| {
                log::warn!(host = host, error = error.to_string(); "a host's record can't be read");
                Host::default()
            });
            hosts.insert(host.to_owned(), known);
        }
        None => {
            hosts.remove(host);
        }
    }
    if hosts.len() != before {
        log::info!(host = host, hosts = hosts.len(); "hosts changed");
    }
}

fn apply_range(shared: &Shared, service: name::Service, record: &Record) {
    let value = record.value.as_deref().unwrap_or_default();
    match serde_json::from_slice::<Range>(value) {
        Ok(range) => {
            let mut assignments = shared.assignments.borrow_mut();
            assignments.entry(service).or_default().put(range);
        }
        Err(error) => {
            log::error!(key = record.key, error = error.to_string(); "range can't be read")
        }
    }
}

fn apply_term(shared: &Shared, value: Option<&[u8]>) {
    let term = value.and_then(|value| serde_json::from_slice::<Term>(value).ok());
    if let Some(term) = term {
        log::info!(leader = term.host, term = term.number; "leader known");
        *shared.leader.borrow_mut() = Some(term.host);
    }
}
