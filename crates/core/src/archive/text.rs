//! Records as lines of text.

use std::{collections::BTreeSet, fmt::Display};

use crate::{
    name,
    record::{Record, Share, State},
    table::Table,
};

/// Names that a line lists. Further names are only counted.
const MAX_NAMES: usize = 8;

/// Describes a record in one line.
pub(super) fn line(record: &Record) -> String {
    match record {
        Record::Table { base, table } => {
            let targets: usize = table.services.values().map(|row| row.targets.len()).sum();
            let services = table.services.len();
            format!("table from version {base}: {services} services, {targets} targets")
        }
        Record::DataCentre { name, state, .. } => format!("data centre {name} {}", word(*state)),
        Record::Host { name, state, .. } => format!("host {name} {}", word(*state)),
        Record::Target { name, state, .. } => format!("target {name} {}", word(*state)),
        Record::Started {
            process,
            address,
            data_centre,
            ..
        } => format!("process {process} started at {address} in {data_centre}"),
        Record::Lost { process } => format!("process {process} lost"),
        Record::Claim {
            holder,
            targets,
            standbys,
        } => {
            let names = list(targets.iter().map(|(target, _)| target));
            format!("claim of {names} by {holder}, standbys {}", list(standbys))
        }
        Record::Standbys {
            targets, standbys, ..
        } => {
            let names = list(targets.iter().map(|(target, _)| target));
            format!("standbys {} of {names}", list(standbys))
        }
        Record::Release { targets } => {
            format!("release of {}", list(targets.iter().map(|(t, _, _)| t)))
        }
        Record::Move {
            service,
            from,
            shares,
            ..
        } => moved(service, from, shares),
        Record::Quarantine {
            fingerprint,
            barred,
        } => {
            let word = if *barred { "barred" } else { "released" };
            format!("fingerprint {fingerprint} {word}")
        }
        Record::Crash {
            target,
            fingerprints,
            ..
        } => format!(
            "crash of {target} with {} requests in flight",
            fingerprints.len()
        ),
        Record::Withdraw { requests } => format!("{} intents withdrawn", requests.len()),
        Record::Intent { requests, .. } => format!("{} intents", requests.len()),
        Record::Outcome { requests } => format!("{} outcomes", requests.len()),
        Record::Forget { before } => format!("requests before {before} forgotten"),
        Record::Resumed { timeline } => format!("log restored, timeline {timeline}"),
        Record::Snapshot {
            at, part, parts, ..
        } => format!("snapshot at {at}, part {part} of {parts}"),
    }
}

fn moved(service: &name::Service, from: &name::Target, shares: &[(Share, name::Target)]) -> String {
    let slices = shares.iter().filter(|(s, _)| matches!(s, Share::Slice(_)));
    let slices = slices.count();
    let keys = shares.len() - slices;
    let to: BTreeSet<&name::Target> = shares.iter().map(|(_, to)| to).collect();
    let to = list(to);
    format!("move of {slices} slices and {keys} keys of {service} from {from} to {to}")
}

/// Returns the services that a record concerns, or `None` if it concerns all.
pub(super) fn services(
    record: &Record,
    before: Option<&Table>,
    table: &Table,
) -> Option<BTreeSet<name::Service>> {
    let of = |target: &name::Target| table.target(target).map(|(service, _, _)| service.clone());
    match record {
        Record::Table { table, .. } => Some(changed(before, table)),
        Record::Target { name, .. } => Some(of(name).into_iter().collect()),
        Record::Claim { targets, .. } => Some(targets.iter().filter_map(|t| of(&t.0)).collect()),
        Record::Standbys { targets, .. } => Some(targets.iter().filter_map(|t| of(&t.0)).collect()),
        Record::Release { targets } => Some(targets.iter().filter_map(|t| of(&t.0)).collect()),
        Record::Move { service, .. } => Some(BTreeSet::from([service.clone()])),
        _ => None,
    }
}

fn changed(before: Option<&Table>, after: &Table) -> BTreeSet<name::Service> {
    let empty = Table::default();
    let before = before.unwrap_or(&empty);
    let names = before.services.keys().chain(after.services.keys());
    let differs = |name: &&name::Service| before.services.get(*name) != after.services.get(*name);
    names.filter(differs).cloned().collect()
}

fn list<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    match names.len() {
        0 => "none".to_owned(),
        count if count > MAX_NAMES => {
            let more = count - MAX_NAMES;
            format!("{} and {more} more", names[..MAX_NAMES].join(", "))
        }
        _ => names.join(", "),
    }
}

fn word(state: State) -> &'static str {
    match state {
        State::In => "in",
        State::Out => "out",
    }
}
