//! Commands that change hosts, data centres, targets and the quarantine.

use std::{fmt::Display, str::FromStr};

use ragwortrill_core::{
    ledger::Effect,
    name,
    number::Offset,
    process::Process,
    record::{Record, State},
    report::{ChangeResult, Propagation, Status},
};

use crate::{api, context::Context, error::Error, output::Output, submit::submit};

/// Describes an accepted change. `what` names the change.
pub(crate) fn describe(what: impl Display, result: &ChangeResult) -> Output {
    let effect = match result.effect {
        Effect::Duplicate => "was in effect before",
        _ => "done",
    };
    let propagation = match &result.in_force {
        Propagation::Everywhere => "in force everywhere".to_owned(),
        Propagation::Waiting(processes) => {
            let names: Vec<String> = processes.iter().map(Process::to_string).collect();
            format!("not yet in force at {}", names.join(", "))
        }
    };
    let ChangeResult {
        offset, version, ..
    } = result;
    let text =
        format!("{what}: {effect}, {propagation} (offset {offset}, table version {version})\n");
    Output::new(text, result)
}

/// Submits a record about the object that the first argument names.
fn submit_named<T: Display + FromStr<Err: ToString>>(
    context: &Context,
    record: impl FnOnce(T) -> Record,
    what: &str,
) -> Result<Output, Error> {
    let name: T = context.positional(0)?;
    let what = format!("{what} {name}");
    submit(context, record(name)).map(|result| describe(what, &result))
}

macro_rules! state_commands {
    ($($function:ident $record:ident $state:ident $what:literal;)*) => {
        $(pub(crate) fn $function(context: &Context) -> Result<Output, Error> {
            let state = State::$state;
            // The daemon replaces this by the offset up to which it has read the log.
            let after = Offset::default();
            submit_named(context, |name| Record::$record { name, state, after }, $what)
        })*
    };
}

state_commands! {
    drain_host Host Out "drain of host";
    return_host Host In "return of host";
    drain_data_centre DataCentre Out "taking out of data centre";
    return_data_centre DataCentre In "return of data centre";
    drain_target Target Out "drain of target";
    return_target Target In "return of target";
}

/// Releases a fingerprint from quarantine.
pub(crate) fn release(context: &Context) -> Result<Output, Error> {
    let record = |fingerprint| Record::Quarantine {
        fingerprint,
        barred: false,
    };
    submit_named(context, record, "release of fingerprint")
}

/// Records that a process has ended for good. A host's name stands for its latest process.
pub(crate) fn report_host_lost(context: &Context) -> Result<Output, Error> {
    if context.positionals[0].contains('/') {
        return submit_named(
            context,
            |process| Record::Lost { process },
            "loss of process",
        );
    }
    let process = silent_process(context, &context.positional(0)?)?;
    let what = format!("loss of process {process}");
    let result = submit(context, Record::Lost { process })?;
    Ok(describe(what, &result))
}

/// Returns the latest process of a host, if it sends no heartbeats to the daemon.
///
/// A process that is recorded as lost but still runs may serve its targets at the same time as its
/// successor. While heartbeats arrive, the operator therefore has to name the process in full.
fn silent_process(context: &Context, name: &name::Host) -> Result<Process, Error> {
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
