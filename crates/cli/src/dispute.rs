//! Conflicts between changes of the table.

use std::{collections::BTreeSet, fmt};

use ragwortrill_core::{number::Version, report::Conflict, table::Table, table_file};
use serde::Serialize;

/// A change of the table that was edited from an old version.
#[derive(Debug, Serialize)]
pub(crate) struct Dispute {
    base: Version,
    current: Version,
    /// Changes between the base and the current version, or `None` if the base isn't stored.
    theirs: Option<Vec<table_file::Change>>,
    /// Changes between the base and the refused table, or from the current one without a base.
    ours: Vec<table_file::Change>,
    /// Cells and rows that both change.
    both: BTreeSet<String>,
    /// How to make the change on top of the current version.
    remedy: String,
}

impl Dispute {
    /// Compares both changes with the base, as far as it is stored.
    pub(crate) fn new(
        base: Version,
        before: Option<&Table>,
        ours: &Table,
        conflict: &Conflict,
        remedy: String,
    ) -> Self {
        let theirs = before.map(|before| table_file::diff(before, &conflict.table));
        let ours = table_file::diff(before.unwrap_or(&conflict.table), ours);
        let path =
            |c: &table_file::Change| format!("{}.{}", c.row, c.column.as_deref().unwrap_or(""));
        let paths = |changes: &[table_file::Change]| changes.iter().map(path).collect();
        let taken: BTreeSet<String> = paths(theirs.as_deref().unwrap_or_default());
        let changed: BTreeSet<String> = paths(&ours);
        let both = taken.intersection(&changed);
        let both = both.map(|path| path.trim_end_matches('.').to_owned());
        Self {
            base,
            current: conflict.version,
            both: both.collect(),
            theirs,
            ours,
            remedy,
        }
    }
}

impl fmt::Display for Dispute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, current, .. } = self;
        write!(
            f,
            "not done: the table is at version {current}, not {base}\n\n"
        )?;
        match &self.theirs {
            Some(theirs) => {
                write!(
                    f,
                    "Changed from version {base} to {current}:\n{}\n",
                    indent(theirs)
                )?;
                write!(
                    f,
                    "Your changes to version {base}:\n{}\n",
                    indent(&self.ours)
                )?;
            }
            None => {
                let ours = indent(&self.ours);
                write!(
                    f,
                    "Version {base} is not stored. Your table differs from version {current}:\n{ours}\n"
                )?;
            }
        }
        if !self.both.is_empty() {
            let both = Vec::from_iter(self.both.iter().cloned()).join(", ");
            write!(f, "Both change {both}; agree on a value first.\n\n")?;
        }
        f.write_str(&self.remedy)
    }
}

fn indent(changes: &[table_file::Change]) -> String {
    match changes.is_empty() {
        true => "  none
"
        .to_owned(),
        false => changes
            .iter()
            .map(|change| {
                format!(
                    "  {change}
"
                )
            })
            .collect(),
    }
}
