//! Applies records of the platform's store to the host's state.

use std::{collections::BTreeSet, rc::Rc};

use anyhow::{Result, ensure};
use ragwortrill_core::{name, number::Offset, time::Instant};
use ragwortrill_router::{
    assignment::{MAX_EPOCH, Range},
    fleet::Change,
    registration::{Incarnation, Registration},
};

use crate::{
    admission, crash,
    follow::Topic,
    lease::{TERM_KEY, Term},
    protocol::{Command, Record},
    shared::{Host, Shared},
};

/// Prefix of keys of key ranges in the ownership topic.
pub(crate) const SERVICE_PREFIX: &str = "service/";
/// Prefix of keys of registered hosts in the ownership topic.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Prefix of keys of quarantined request fingerprints in the ownership topic.
pub(crate) const QUARANTINE_PREFIX: &str = "barred/";

/// Applies a complete list of the records before `end`: the newest record of every key. Keys that are
/// not among them are gone.
pub(crate) fn apply_list(shared: &Rc<Shared>, topic: Topic, records: Vec<Record>, end: Offset) {
    let listed = records.iter().map(|record| record.key.as_str()).collect();
    let mut replicas = shared.replicas.borrow_mut();
    replicas.entry(topic).or_default().retain(&listed, end);
    drop(replicas);
    apply(shared, topic, records, true);
}

/// Applies new records of a topic.
pub(crate) fn apply_changes(shared: &Rc<Shared>, topic: Topic, records: Vec<Record>) {
    apply(shared, topic, records, false);
}

fn apply(shared: &Rc<Shared>, topic: Topic, records: Vec<Record>, is_complete: bool) {
    // Hosts that have just started wait for the first list of targets.
    let is_urgent = match topic {
        Topic::Targets => !shared.has_listed_targets.get(),
        Topic::Operators | Topic::Ownership => !records.is_empty(),
    };
    match topic {
        Topic::Operators => apply_commands(shared, records, is_complete),
        Topic::Targets => apply_entries(shared, records, is_complete),
        Topic::Ownership => apply_ownership(shared, records),
    }
    if is_urgent {
        shared.update_ready.notify_waiters();
    }
    admission::dispatch(shared);
}

/// Stores a record in the topic's replica, from which it is relayed to other hosts. Returns false
/// if the replica holds a newer one.
fn store_in_replica(shared: &Shared, topic: Topic, record: &Record) -> bool {
    let mut replicas = shared.replicas.borrow_mut();
    replicas.entry(topic).or_default().store(record)
}

fn apply_commands(shared: &Rc<Shared>, records: Vec<Record>, is_complete: bool) {
    let mut evacuated = BTreeSet::new();
    // A list right after a restore is older than the known evacuations.
    let is_restoring = is_complete && shared.fleet.borrow().is_restoring(shared.now());
    let keeps_evacuations = is_restoring && shared.config.borrow().is_some();
    for record in records {
        store_in_replica(shared, Topic::Operators, &record);
        match ((shared.protocol.parse_command)(&record.key), record.value) {
            (Some(Command::Config), Some(value)) => apply_config(shared, &value),
            (Some(Command::Evacuate(_)), _) if keeps_evacuations => {}
            (Some(Command::Evacuate(data_centre)), Some(_)) => {
                evacuate(shared, &data_centre);
                evacuated.insert(data_centre);
            }
            (Some(Command::Evacuate(data_centre)), None) => restore(shared, &data_centre),
            _ => {}
        }
    }
    if is_complete && !keeps_evacuations {
        let known = shared.fleet.borrow().evacuated().clone();
        for data_centre in known.difference(&evacuated) {
            restore(shared, data_centre);
        }
    }
}

fn apply_config(shared: &Rc<Shared>, value: &[u8]) {
    let config = match (shared.protocol.decode_config)(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!(error = format!("{error:#}"); "configuration can't be decoded; the previous one stays active");
            return;
        }
    };
    let known = shared.config.borrow().as_ref().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    log::info!(version = config.version.0, routes = config.routes.len(); "configuration activated");
    let services = config.services.keys().cloned();
    shared.named_services.borrow_mut().extend(services);
    *shared.config.borrow_mut() = Some(Rc::new(config));
    shared.configured_at.set(shared.now());
    apply_unnamed(shared);
}

/// Applies the entries of services that no configuration named before the latest one.
fn apply_unnamed(shared: &Rc<Shared>) {
    let unnamed = shared.unnamed_entries.take();
    if !unnamed.is_empty() {
        apply_entries(shared, unnamed.into_values().collect(), false);
    }
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
    admission::dispatch(shared);
}

fn apply_entries(shared: &Rc<Shared>, records: Vec<Record>, is_complete: bool) {
    let now = shared.now();
    let mut listed = BTreeSet::new();
    if is_complete {
        shared.unnamed_entries.borrow_mut().clear();
    }
    for record in records {
        let Ok(id) = record.key.parse::<name::Target>() else {
            continue;
        };
        let entry = record
            .value
            .as_deref()
            .and_then(|value| decode(shared, &record.key, value));
        let is_decoded = entry.is_some();
        let entry = entry.filter(|entry| is_named(shared, entry));
        if entry.is_some() {
            listed.insert(id.clone());
        }
        let is_unnamed = is_decoded && entry.is_none();
        set_aside(shared, &id, &record, is_unnamed);
        let earlier = serving(shared, &id);
        // What another writer left in place of a target's entry does not show that the target ended.
        let is_evidence = record.value.is_none() || entry.is_some();
        let change = shared.fleet.borrow_mut().apply(now, &id, entry);
        let has_ended = is_evidence && matches!(change, Change::Gone | Change::Started);
        if let Some(earlier) = earlier.filter(|_| has_ended) {
            crash::record_end(shared, &earlier);
        }
        // Other hosts may get the replica as a complete list. An entry that can't be decoded is none.
        let value = record.value.filter(|_| is_decoded);
        let record = Record { value, ..record };
        if change != Change::None || is_complete || is_unnamed {
            store_in_replica(shared, Topic::Targets, &record);
        }
        // A host that has just started logs the list as a whole.
        if change != Change::None && shared.has_listed_targets.get() {
            log_change(shared, now, &id, change);
        }
    }
    if is_complete {
        let known = shared.fleet.borrow().targets().clone();
        // The loop reads the fleet, so it must not be borrowed by the loop's iterator.
        let absent = shared.fleet.borrow_mut().retain(now, &listed);
        for id in absent {
            let is_gone = shared.fleet.borrow().get(&id).is_none();
            let target = known.get(&id);
            let target = target.filter(|t| !shared.fleet.borrow().is_draining(t));
            if let Some(target) = target.filter(|_| is_gone) {
                crash::record_end(shared, &target.registration.incarnation);
            }
            log::info!(target = id.as_str(); "target is missing from the complete list of targets");
        }
    }
    if !shared.has_listed_targets.replace(true) {
        log::info!(targets = shared.fleet.borrow().targets().len(); "targets listed for the first time");
    }
}

/// Returns whether a configuration has named the service of an entry. Until then the entry may be one
/// of another writer, which names no target.
fn is_named(shared: &Shared, entry: &Registration) -> bool {
    shared.named_services.borrow().contains(&entry.service)
}

/// Keeps an entry whose service no configuration has named, in place of the earlier one with its id.
fn set_aside(shared: &Shared, id: &name::Target, record: &Record, is_unnamed: bool) {
    let mut unnamed = shared.unnamed_entries.borrow_mut();
    let replaced = match is_unnamed {
        true => unnamed.insert(id.clone(), record.clone()),
        false => unnamed.remove(id),
    };
    if is_unnamed && replaced.is_none() {
        log::debug!(target = id.as_str(); "target's entry names a service that no configuration names; the target counts as absent");
    }
}

/// Returns the incarnation of a target that is registered and does not drain.
fn serving(shared: &Shared, id: &name::Target) -> Option<Incarnation> {
    let fleet = shared.fleet.borrow();
    let known = fleet.get(id).filter(|target| !fleet.is_draining(target));
    known.map(|t| t.registration.incarnation.clone())
}

fn decode(shared: &Shared, key: &str, value: &[u8]) -> Option<Registration> {
    match (shared.protocol.decode_registration)(key, value) {
        Ok(registration) => Some(registration),
        Err(error) => {
            log::warn!(target = key, error = format!("{error:#}"); "target's entry can't be decoded; the target counts as absent");
            None
        }
    }
}

fn log_change(shared: &Shared, now: Instant, id: &name::Target, change: Change) {
    let fleet = shared.fleet.borrow();
    let target = fleet.get(id);
    log::info!(
        target = id.as_str(), change = format!("{change:?}"),
        service = target.map_or("", |t| t.registration.service.as_str()),
        cold_ms = target.map_or(0, |t| t.cold_until.since(now).as_millis());
        "target changed"
    );
}

fn apply_ownership(shared: &Rc<Shared>, records: Vec<Record>) {
    let mut ranges = 0;
    let hosts = shared.hosts.borrow().len();
    for record in records {
        // Records read after a complete list may be older than those of the list.
        if !store_in_replica(shared, Topic::Ownership, &record) {
            continue;
        }
        if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
            apply_host(shared, host, record.value.as_deref());
        } else if let Some(service) = service(&record.key) {
            ranges += 1;
            apply_range(shared, service, &record);
        } else if let Some(fingerprint) = record.key.strip_prefix(QUARANTINE_PREFIX) {
            apply_quarantine(shared, fingerprint);
        } else if record.key == TERM_KEY {
            apply_term(shared, record.value.as_deref());
        }
    }
    if ranges > 0 {
        log::info!(ranges = ranges; "key ranges updated from the store");
    }
    let known = shared.hosts.borrow().len();
    if known != hosts {
        log::info!(hosts = known, before = hosts; "list of hosts changed");
    }
}

/// Returns the service in the key of a range's record.
pub(crate) fn service(key: &str) -> Option<name::Service> {
    let (service, _) = key.strip_prefix(SERVICE_PREFIX)?.split_once('/')?;
    service.parse().ok()
}

fn apply_quarantine(shared: &Shared, fingerprint: &str) {
    if let Ok(parsed) = fingerprint.parse() {
        log::warn!(fingerprint = fingerprint; "requests with this fingerprint are quarantined: they crash their targets");
        shared
            .crash_observer
            .borrow_mut()
            .quarantine(shared.now(), parsed, true);
    }
}

fn apply_host(shared: &Shared, host: &str, value: Option<&[u8]>) {
    let mut hosts = shared.hosts.borrow_mut();
    let before = hosts.len();
    match value {
        Some(value) => {
            let known = serde_json::from_slice(value).unwrap_or_else(|error| {
                log::warn!(host = host, error = error.to_string(); "host's record can't be decoded; the host counts without address and processor time");
                Host::default()
            });
            hosts.insert(host.to_owned(), known);
        }
        None => {
            let removed = hosts.remove(host).and_then(|known| known.address);
            let is_leader = shared.leader.borrow().as_deref() == Some(host);
            if let Some(address) = removed.filter(|_| is_leader) {
                *shared.stopped_leader.borrow_mut() = Some((host.to_owned(), address));
            }
        }
    }
    shared.uplink.hosts_changed();
    if hosts.len() != before {
        log::debug!(host = host, hosts = hosts.len(); "list of hosts changed");
    }
}

/// Decodes the record of a range; logs one that can't be decoded.
pub(crate) fn decode_range(key: &str, value: &[u8]) -> Option<Range> {
    match parse_range(value) {
        Ok(range) => Some(range),
        Err(error) => {
            log::error!(key = key, error = format!("{error:#}"); "key range can't be decoded; the previous one stays effective");
            None
        }
    }
}

fn parse_range(value: &[u8]) -> Result<Range> {
    let range: Range = serde_json::from_slice(value)?;
    let (first, last) = (range.first, range.last);
    ensure!(
        first <= last,
        "the range ends at {last}, before its first key {first}"
    );
    ensure!(
        range.epoch <= MAX_EPOCH,
        "epoch {} is above {MAX_EPOCH}",
        range.epoch
    );
    Ok(range)
}

fn apply_range(shared: &Shared, service: name::Service, record: &Record) {
    let value = record.value.as_deref().unwrap_or_default();
    let Some(range) = decode_range(&record.key, value) else {
        return;
    };
    let mut assignments = shared.assignments.borrow_mut();
    let assignment = assignments.entry(service).or_default();
    // A store restored from a copy has ranges of before.
    if !assignment.is_outdated(&range) {
        assignment.upsert(range);
    }
}

fn apply_term(shared: &Shared, value: Option<&[u8]>) {
    let term = value.and_then(Term::decode);
    // A store restored from a copy has a term of before.
    if let Some(term) = term.filter(|term| term.rank() >= shared.latest_term.get()) {
        shared.latest_term.set(term.rank());
        log::info!(leader = term.host, term = term.number; "leader updated from the store");
        if term.host != shared.settings.borrow().host.as_str() {
            shared.crash_aggregator.borrow_mut().forget_reports();
        }
        *shared.leader.borrow_mut() = Some(term.host);
    }
}
