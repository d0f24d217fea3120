//! Operators' changes, their answers and the table's history.

use serde::{Deserialize, Serialize};

use crate::{
    ledger::Effect,
    number::{Offset, Version},
    process::Process,
    record::{self, Record},
    request,
    table::Table,
};

/// A record of the log, for the audit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier chosen by the writer.
    pub id: record::Id,
    /// Process or operator that wrote the record.
    pub actor: String,
    /// Why the record was written.
    pub reason: String,
    /// Writer's wall clock, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// What the record changed.
    pub effect: Effect,
    /// The record as one line of text.
    pub text: String,
}

/// A version of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersion {
    /// The version.
    pub version: Version,
    /// The table.
    pub table: Table,
}

/// An accepted change of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// The version that it created.
    pub version: Version,
    /// Offset of the record.
    pub offset: Offset,
    /// Operator that made the change.
    pub actor: String,
    /// Why the change was made.
    pub reason: String,
    /// Operator's wall clock, in milliseconds since the Unix epoch.
    pub written_ms: u64,
}

/// An operator's change, to be appended to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identifier of the entry. A repeated change has the same one.
    pub id: record::Id,
    /// The operator.
    pub actor: String,
    /// Why the change is made.
    pub reason: String,
    /// The change.
    pub record: Record,
}

/// Answer to a change that reached the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// Offset of the record.
    pub offset: Offset,
    /// What the record changed.
    pub effect: Effect,
    /// Version of the table after the record.
    pub version: Version,
    /// Where the change is in force.
    pub in_force: Propagation,
}

/// Where a change is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Propagation {
    /// At all live daemons.
    Everywhere,
    /// At all live daemons except these.
    Waiting(Vec<Process>),
}

/// Answer to a table change that was edited from an old version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The current version.
    pub version: Version,
    /// The current table.
    pub table: Table,
}

/// A refusal or failure (RFC 9457).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Stable identifier of the kind of problem.
    pub r#type: String,
    /// What happened, in one sentence.
    pub title: String,
    /// What the operator can do.
    pub remedy: String,
    /// Whether the change took effect. `None` if nothing was to be changed.
    pub run: Option<request::Run>,
}
