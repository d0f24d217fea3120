//! Commands of hosts, data centres, targets and the quarantine.

use std::{fmt::Display, str::FromStr};

use ragwortrill_core::{
    ledger::Effect,
    name,
    number::Offset,
    process::Process,
    record::{Record, State},
    report::{ChangeResult, Propagation, Status},
};

use crate::{api, context::Context, error::Error, page::Page, submit::submit};

/// Describes an accepted change.
pub(crate) fn describe(what: impl Display, outcome: &ChangeResult) -> Page {
    let effect = match outcome.effect {
        Effect::Duplicate => "was in effect before",
        _ => "done",
    };
    let force = match &outcome.in_force {
        Propagation::Everywhere => "in force everywhere".to_owned(),
        Propagation::Waiting(processes) => {
            let names: Vec<String> = processes.iter().map(Process::to_string).collect();
            format!("not yet in force at {}", names.join(", "))
        }
    };
    let ChangeResult {
        offset, version, ..
    } = outcome;
    let text = format!("{what}: {effect}, {force} (offset {offset}, table version {version})\n");
    Page::new(text, outcome)
}

fn set<T: Display + FromStr<Err: ToString>>(
    context: &Context,
    record: impl FnOnce(T) -> Record,
    what: &str,
) -> Result<Page, Error> {
    let name: T = context.word(0)?;
    let what = format!("{what} {name}");
    submit(context, record(name)).map(|outcome| describe(what, &outcome))
}

macro_rules! states {
    ($($function:ident $record:ident $state:ident $what:literal;)*) => {
        $(pub(crate) fn $function(context: &Context) -> Result<Page, Error> {
            let state = State::$state;
            // The daemon fills in the offset that it has read.
            let after = Offset::default();
            set(context, |name| Record::$record { name, state, after }, $what)
        })*
    };
}

states! {
    drain_host Host Out "drain of host";
    return_host Host In "return of host";
    drain_data_centre DataCentre Out "taking out of data centre";
    return_data_centre DataCentre In "return of data centre";
    drain_target Target Out "drain of target";
    return_target Target In "return of target";
}

/// Releases a fingerprint from quarantine.
pub(crate) fn release(context: &Context) -> Result<Page, Error> {
    let record = |fingerprint| Record::Quarantine {
        fingerprint,
        barred: false,
    };
    set(context, record, "release of fingerprint")
}

/// Asserts that a process has ended. A host's name stands for its latest process.
pub(crate) fn lose_host(context: &Context) -> Result<Page, Error> {
    if context.words[0].contains('/') {
        return set(
            context,
            |process| Record::Lost { process },
            "loss of process",
        );
    }
    let process = ended(context, &context.word(0)?)?;
    let what = format!("loss of process {process}");
    let outcome = submit(context, Record::Lost { process })?;
    Ok(describe(what, &outcome))
}

/// A living process that is declared lost may act beside its successor, so only a process named in
/// full is reported lost while the daemon still hears from it.
fn ended(context: &Context, name: &name::Host) -> Result<Process, Error> {
    let status: Status = context.client()?.get(api::STATUS, &[])?;
    let mut hosts = status.hosts.into_iter();
    let Some(host) = hosts.find(|host| host.process.host == *name) else {
        return Err(Error::refused(
            format!("the daemon knows no process of host {name}"),
            "run 'ragwortrill status' for the names",
        ));
    };
    match host.alive {
        true => Err(Error::refused(
            format!("process {} still sends heartbeats", host.process),
            "stop it first, or name the process in full if you are certain that it has ended",
        )),
        false => Ok(host.process),
    }
}
