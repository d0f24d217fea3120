//! Errors of the command line, with their exit codes.

use std::{fmt::Display, io, path::PathBuf};

use ragwortrill_core::{record, table_file::Fault};
use serde_json::{Value, json};

use crate::{client::Failure, conflict::Comparison, grid::count, output::Output};

/// Exit code for a command that failed.
const FAILED: u8 = 1;

/// Exit code for wrong usage.
const WRONG_USAGE: u8 = 2;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("{message}; {hint}")]
    Usage { message: String, hint: String },
    #[error("can't read {path}: {cause}; check the path and its permissions", path = path.display())]
    File { path: PathBuf, cause: io::Error },
    #[error("{path} has {count}:\n{list}", path = path.display(), count = count(faults.len(), "fault"), list = list(faults))]
    Faults { path: PathBuf, faults: Vec<Fault> },
    #[error("{what}; {hint}")]
    Absent { what: String, hint: String },
    #[error("can't write the result: {0}; check where stdout goes")]
    Output(io::Error),
    #[error("{0}")]
    Request(#[from] Failure),
    #[error("not done: {0}")]
    NotDone(Failure),
    #[error("{0}")]
    Conflict(Box<Comparison>),
    #[error("not done: {title}; {remedy}")]
    Refused { title: String, remedy: String },
    #[error(
        "unknown whether the change was made: {cause}; repeat the command with --id {id}, which never makes the change twice, or look for the id in 'ragwortrill audit'"
    )]
    Unknown { id: record::Id, cause: String },
}

impl Error {
    pub(crate) fn usage(message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
            hint: hint.into(),
        }
    }

    pub(crate) fn refused(title: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Refused {
            title: title.into(),
            remedy: remedy.into(),
        }
    }

    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => WRONG_USAGE,
            _ => FAILED,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Usage { .. } => "usage",
            Self::File { .. } => "file",
            Self::Absent { .. } => "absent",
            Self::Output(_) => "output",
            Self::Faults { .. } => "faults",
            Self::Request(_) => "connection",
            Self::Conflict(_) => "conflict",
            Self::NotDone(_) | Self::Refused { .. } => "not-done",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns what is printed to stderr.
    pub(crate) fn output(&self) -> Output {
        let mut value = json!({"kind": self.kind(), "error": self.to_string()});
        let (field, details) = match self {
            Self::Faults { faults, .. } => ("faults", json!(faults)),
            Self::Conflict(comparison) => ("conflict", json!(comparison)),
            Self::Unknown { id, .. } => ("id", json!(id)),
            _ => return Output::new(format!("error: {self}\n"), value),
        };
        if let Value::Object(fields) = &mut value {
            fields.insert(field.to_owned(), details);
        }
        Output::new(format!("error: {self}\n"), value)
    }
}

fn list(items: &[impl Display]) -> String {
    let items: Vec<String> = items.iter().map(|item| format!("  {item}")).collect();
    items.join("\n")
}
