//! Tasks that follow the topics of the platform's store.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use anyhow::Result;
use ragwortrill_core::{
    name,
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::{assignment::Assignment, fleet::Change};
use tokio::time::sleep;

use crate::{
    dialect::{Command, Record, Tail},
    place,
    shared::Shared,
    store::Store,
};

/// Longest wait of a read for a new record. A silent connection is noticed soon after.
const WAIT: Span = Span::from_millis(2_500);
/// Pause between two reads of the targets' entries, which change with every heartbeat.
const TARGETS_PAUSE: Duration = Duration::from_millis(600);
/// Pause after a failed call. It doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_millis(300);

/// Key prefixes of the ownership topic.
pub(crate) const SERVICE: &str = "service/";
pub(crate) const HOST: &str = "host/";

/// How a topic is followed.
struct Topic {
    name: &'static str,
    wait: Span,
    /// Applies records. The listing is complete if it is the newest record of every key.
    apply: fn(&Rc<Shared>, Vec<Record>, bool),
}

/// Follows the operators' configuration and commands.
pub(crate) async fn operators(shared: Rc<Shared>) {
    let topic = Topic {
        name: shared.dialect.topics.operators,
        wait: WAIT,
        apply: apply_commands,
    };
    follow(shared, topic).await;
}

/// Follows the entries of targets.
pub(crate) async fn targets(shared: Rc<Shared>) {
    let topic = Topic {
        name: shared.dialect.topics.targets,
        wait: Span::ZERO,
        apply: apply_entries,
    };
    follow(shared, topic).await;
}

/// Follows the assignments of keys and the hosts of the system.
pub(crate) async fn ownership(shared: Rc<Shared>) {
    let topic = Topic {
        name: shared.dialect.topics.ownership,
        wait: WAIT,
        apply: apply_ownership,
    };
    follow(shared, topic).await;
}

async fn follow(shared: Rc<Shared>, topic: Topic) {
    let mut store = Store::new(shared.clone());
    let mut from = None;
    let mut backoff = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        // A read that waits would hide the store's return for as long.
        let wait = if is_lost { Span::ZERO } else { topic.wait };
        let outcome = step(&shared, &mut store, &topic, from, wait).await;
        note_store(&shared, outcome.is_ok());
        match outcome {
            Ok(next) => {
                if is_lost {
                    log::info!(topic = topic.name; "store regained");
                }
                is_lost = false;
                backoff = FIRST_PAUSE;
                from = next;
                if topic.wait == Span::ZERO {
                    pause(&shared).await;
                }
            }
            Err(error) => {
                if !is_lost {
                    log::warn!(topic = topic.name, error = format!("{error:#}"); "store lost");
                }
                is_lost = true;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MOST_PAUSE);
            }
        }
    }
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

/// Reads once. Returns the offset from which to read on, or none if records have expired.
async fn step(
    shared: &Rc<Shared>,
    store: &mut Store,
    topic: &Topic,
    from: Option<Offset>,
    wait: Span,
) -> Result<Option<Offset>> {
    let Some(from) = from else {
        let (records, next) = store.newest(topic.name).await?;
        (topic.apply)(shared, records, true);
        return Ok(Some(next));
    };
    match store.read(topic.name, from, wait).await? {
        Tail::Records(records, next) => {
            (topic.apply)(shared, records, false);
            Ok(Some(next))
        }
        Tail::Expired => Ok(None),
    }
}

fn apply_commands(shared: &Rc<Shared>, records: Vec<Record>, is_complete: bool) {
    let mut evacuated = BTreeSet::new();
    for record in records {
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
        let change = shared.fleet.borrow_mut().apply(now, &id, entry);
        note_change(shared, now, &id, change);
    }
    if is_complete {
        for id in shared.fleet.borrow_mut().retain(now, &listed) {
            log::info!(target = id.as_str(); "target not listed");
        }
    }
    shared.knows_targets.set(true);
    place::serve(shared);
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
    if change == Change::None {
        return;
    }
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

fn apply_ownership(shared: &Rc<Shared>, records: Vec<Record>, _is_complete: bool) {
    for record in records {
        if let Some(host) = record.key.strip_prefix(HOST) {
            let mut hosts = shared.hosts.borrow_mut();
            let changed = match record.value {
                Some(_) => hosts.insert(host.to_owned()),
                None => hosts.remove(host),
            };
            if changed {
                log::info!(host = host, hosts = hosts.len(); "hosts changed");
                shared.budgets.borrow_mut().clear();
            }
        } else if let Some(service) = record.key.strip_prefix(SERVICE) {
            let value = record.value.unwrap_or_default();
            match (
                service.parse::<name::Service>(),
                serde_json::from_slice::<Assignment>(&value),
            ) {
                (Ok(service), Ok(assignment)) => {
                    let mut assignments = shared.assignments.borrow_mut();
                    let known = assignments
                        .get(&service)
                        .map_or(0, |known| known.next_epoch);
                    // A listing may be newer than the records that are read after it.
                    if assignment.next_epoch < known {
                        continue;
                    }
                    log::info!(
                        service = service.as_str(), offset = record.offset.0,
                        ranges = assignment.ranges.len(),
                        moving = assignment.ranges.iter().filter(|r| !r.is_held()).count();
                        "assignment known"
                    );
                    assignments.insert(service, assignment);
                }
                _ => log::error!(key = record.key; "assignment can't be read"),
            }
        }
    }
    place::serve(shared);
}
