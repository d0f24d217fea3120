//! Operators' changes, the answers to them, and the table's history.

use serde::{Deserialize, Serialize};

use crate::{
    ledger::Effect,
    number::{Offset, Version},
    process::Process,
    record::{self, Record},
    request,
    table::Table,
};

/// A record of the log, as the audit shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier that the writer chose.
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

/// A table with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersion {
    /// Version of the table.
    pub version: Version,
    /// Content of the table.
    pub table: Table,
}

/// An accepted change of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Version of the table that the change created.
    pub version: Version,
    /// Offset of the change's record.
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
    /// Identifier of the log entry. A repeated change has the same one.
    pub id: record::Id,
    /// Operator who makes the change.
    pub actor: String,
    /// Why the change is made.
    pub reason: String,
    /// Record to append.
    pub record: Record,
}

/// Result of a change that was appended to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// Offset of the record.
    pub offset: Offset,
    /// What the record changed.
    pub effect: Effect,
    /// Version of the table after the record.
    pub version: Version,
    /// Daemons at which the change has taken effect.
    pub in_force: Propagation,
}

/// Daemons at which a change has taken effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Propagation {
    /// The change has taken effect at all live daemons.
    Everywhere,
    /// The change has taken effect at all live daemons except these.
    Waiting(Vec<Process>),
}

/// Answer to a change of the table that is based on an old version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// Current version of the table.
    pub version: Version,
    /// Current content of the table.
    pub table: Table,
}

/// Problem details of a refusal or failure (RFC 9457).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Stable identifier of the kind of problem.
    pub r#type: String,
    /// Summary of the problem in one sentence.
    pub title: String,
    /// What the operator can do.
    pub remedy: String,
    /// Whether the change took effect. `None` if nothing was to be changed.
    pub run: Option<request::Run>,
}
