//! Commands that check, show and change the table.

use ntex::http::StatusCode;
use ragwortrill_core::{
    number::Version,
    record::Record,
    report::{Conflict, Revision, TableVersion},
    table::{Service, Table},
    table_file::{self, TableFile},
};
use serde_json::json;

use crate::{
    api, change,
    client::{Client, Failure},
    conflict::Comparison,
    context::Context,
    error::Error,
    grid,
    output::Output,
    submit::submit,
};

/// Checks a table file.
pub(crate) fn check(context: &Context) -> Result<Output, Error> {
    let table_file = context.table_file(0)?;
    let services = table_file.table.services.len();
    let targets: usize = table_file
        .table
        .services
        .values()
        .map(|row| row.targets.len())
        .sum();
    let text = format!(
        "{}: {}, {}, no faults",
        context.positionals[0],
        grid::count(services, "service"),
        grid::count(targets, "target"),
    );
    let value = json!({"file": context.positionals[0], "services": services, "targets": targets});
    Ok(Output::new(text, value))
}

/// Compares two files, or a daemon's table with a file.
pub(crate) fn diff(context: &Context) -> Result<Output, Error> {
    let first = context.table_file(0)?.table;
    let changes = match context.positionals.len() {
        1 => table_file::diff(&current(context.client()?)?.table, &first),
        _ => table_file::diff(&first, &context.table_file(1)?.table),
    };
    let text = match changes.is_empty() {
        true => "no differences\n".to_owned(),
        false => list(&changes),
    };
    Ok(Output::new(text, changes))
}

/// Replaces the table by a file.
pub(crate) fn apply(context: &Context) -> Result<Output, Error> {
    let table_file = context.table_file(0)?;
    let base = base(context, table_file.version)?;
    replace(context, base, table_file.table, |current| {
        format!(
            "To rebase, run 'ragwortrill table show {current} --sheet > rebased.json', enter your \
             changes there, and apply that file; it states its base."
        )
    })
}

fn base(context: &Context, stated: Option<Version>) -> Result<Version, Error> {
    match (context.parse_option("--base")?, stated) {
        (Some(base), Some(stated)) if base != stated => Err(Error::usage(
            format!("--base is {base} but the file states version {stated}"),
            "give the version that the file was edited from",
        )),
        (Some(version), _) | (None, Some(version)) => Ok(version),
        (None, None) => Err(Error::usage(
            "the version that the file was edited from is missing",
            "give --base VERSION, or a top-level \"version\" in the file",
        )),
    }
}

/// Makes an earlier version of the table the current one again.
pub(crate) fn revert(context: &Context) -> Result<Output, Error> {
    let client = context.client()?;
    let table = version(client, context.positional(0)?)?;
    let base = match context.parse_option("--base")? {
        Some(base) => base,
        None => current(client)?.version,
    };
    replace(context, base, table, |current| {
        format!("To discard these changes and revert anyway, add --base {current}.")
    })
}

/// Submits a table. If the daemon refuses it because the base is old, reports the conflict.
fn replace(
    context: &Context,
    base: Version,
    table: Table,
    remedy: impl FnOnce(Version) -> String,
) -> Result<Output, Error> {
    let record = Record::Table {
        base,
        table: table.clone(),
    };
    match submit(context, record) {
        Ok(result) => Ok(change::describe("table", &result)),
        Err(Error::NotDone(Failure::Status(refusal))) if refusal.status == StatusCode::CONFLICT => {
            let client = context.client()?;
            let conflict: Conflict = client.decode(&refusal.body)?;
            let base_table = version(client, base).ok();
            let remedy = remedy(conflict.version);
            let comparison = Comparison::new(base, base_table.as_ref(), &table, &conflict, remedy);
            Err(Error::Conflict(Box::new(comparison)))
        }
        Err(error) => Err(error),
    }
}

/// Shows the current table or an earlier version.
pub(crate) fn show(context: &Context) -> Result<Output, Error> {
    let client = context.client()?;
    let table_version = match context.positionals.is_empty() {
        true => current(client)?,
        false => {
            let number = context.positional(0)?;
            let table = version(client, number)?;
            TableVersion {
                version: number,
                table,
            }
        }
    };
    if context.has("--sheet") {
        let table_file = TableFile {
            version: Some(table_version.version),
            table: table_version.table.clone(),
        };
        return Ok(Output::new(table_file.render(), table_version));
    }
    let text = format!(
        "version {}\n\n{}",
        table_version.version,
        summarize(&table_version.table)
    );
    Ok(Output::new(text, table_version))
}

/// Lists the versions of the table.
pub(crate) fn history(context: &Context) -> Result<Output, Error> {
    let revisions: Vec<Revision> = context.client()?.get(api::HISTORY, &[])?;
    let heading = ["version", "offset", "written", "actor", "reason"];
    let row = |revision: &Revision| {
        [
            revision.version.to_string(),
            revision.offset.to_string(),
            grid::time(revision.written_ms),
            revision.actor.clone(),
            revision.reason.clone(),
        ]
    };
    let rows: Vec<_> = revisions.iter().map(row).collect();
    Ok(Output::new(grid::render(heading, &rows), revisions))
}

fn current(client: Client) -> Result<TableVersion, Failure> {
    client.get(api::TABLE, &[])
}

fn version(client: Client, version: Version) -> Result<Table, Failure> {
    client.get(&format!("{}/{version}", api::HISTORY), &[])
}

fn summarize(table: &Table) -> String {
    let heading = [
        "service",
        "targets",
        "slots",
        "connections",
        "queue",
        "deadline",
        "by key",
        "slices",
        "idempotent",
        "retry %",
        "slow start",
        "reserved %",
        "id window",
        "moves/min",
        "hot key %",
    ];
    let row = |(name, row): (&ragwortrill_core::name::Service, &Service)| {
        [
            name.to_string(),
            row.targets.len().to_string(),
            row.slots.to_string(),
            row.connections.to_string(),
            row.queue.to_string(),
            row.deadline.to_string(),
            if row.divided_by_key { "yes" } else { "no" }.to_owned(),
            row.slices.to_string(),
            grid::join(&row.idempotent_methods),
            row.retry_percent.to_string(),
            row.slow_start.to_string(),
            row.reserved_percent.to_string(),
            row.id_window.to_string(),
            row.moves_per_minute.to_string(),
            row.hot_key_percent.to_string(),
        ]
    };
    let rows: Vec<_> = table.services.iter().map(row).collect();
    grid::render(heading, &rows)
}

fn list(changes: &[table_file::Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}
