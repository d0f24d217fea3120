//! The command that shows the state of the system.

use ragwortrill_core::{
    contract::Contract,
    record::State,
    report::{Host, Status, Target},
};

use crate::{
    api,
    context::Context,
    error::Error,
    grid::{self, cell, join},
    output::Output,
};

/// Shows hosts, targets and warnings.
pub(crate) fn status(context: &Context) -> Result<Output, Error> {
    let status: Status = context.client()?.get(api::STATUS, &[])?;
    let hosts: Vec<_> = status.hosts.iter().map(host).collect();
    let targets: Vec<_> = status.targets.iter().map(target).collect();
    let data_centres = status.data_centres.iter();
    let data_centres = data_centres.map(|(name, state)| format!("{name} {}", state_name(*state)));
    let warnings = status
        .warnings
        .iter()
        .map(|text| format!("warning: {text}\n"));
    let text = format!(
        "daemon        {} in {}\n\
         log           offset {}, hash {}, proof {} old\n\
         table         version {}\n\
         data centres  {}\n\
         quarantine    {}\n\n{}\n{}{}",
        status.process,
        status.data_centre,
        status.offset,
        status.hash,
        cell(status.proof_age),
        status.version,
        Vec::from_iter(data_centres).join(", "),
        join(&status.quarantine),
        grid::render(
            ["process", "data centre", "state", "alive", "offset", "hash"],
            &hosts
        ),
        grid::render(TARGET_HEADING, &targets),
        String::from_iter(warnings),
    );
    Ok(Output::new(text, status))
}

const TARGET_HEADING: [&str; 10] = [
    "target",
    "service",
    "data centre",
    "state",
    "condition",
    "running",
    "queued",
    "late",
    "epoch",
    "holder",
];

fn state_name(state: State) -> &'static str {
    match state {
        State::In => "in",
        State::Out => "out",
    }
}

fn host(host: &Host) -> [String; 6] {
    [
        host.process.to_string(),
        host.data_centre.to_string(),
        state_name(host.state).to_owned(),
        if host.alive { "yes" } else { "no" }.to_owned(),
        cell(host.offset),
        if host.differs { "DIFFERS" } else { "same" }.to_owned(),
    ]
}

fn target(target: &Target) -> [String; 10] {
    let load = target.load.as_ref();
    let (epoch, holder) = contract(target.contract.as_ref());
    [
        target.name.to_string(),
        target.service.to_string(),
        target.data_centre.to_string(),
        state_name(target.state).to_owned(),
        cell(load.map(|load| format!("{:?}", load.condition).to_lowercase())),
        cell(load.map(|load| load.running)),
        cell(load.map(|load| load.queued)),
        cell(load.map(|load| load.late)),
        epoch,
        holder,
    ]
}

/// Formats a contract's epoch and holder.
pub(crate) fn contract(contract: Option<&Contract>) -> (String, String) {
    let holder = contract.map(|c| match c.released {
        Some(_) => format!("{} (released)", c.holder),
        None => c.holder.to_string(),
    });
    (cell(contract.map(|c| c.epoch)), cell(holder))
}
