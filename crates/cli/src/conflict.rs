//! Conflicts between concurrent changes of the table.

use std::{collections::BTreeSet, fmt};

use ragwortrill_core::{number::Version, report::Conflict, table::Table, table_file};
use serde::Serialize;

/// Comparison of a change that was refused for its old base with the changes made since the base.
#[derive(Debug, Serialize)]
pub(crate) struct Comparison {
    base: Version,
    current: Version,
    /// Changes between the base and the current version, or `None` if the base isn't stored.
    theirs: Option<Vec<table_file::Change>>,
    /// Changes from the base to the refused table; if the base isn't stored, from the current one.
    ours: Vec<table_file::Change>,
    /// Cells and rows that are in both lists of changes.
    both: BTreeSet<String>,
    /// How to apply the change to the current version.
    remedy: String,
}

impl Comparison {
    /// Compares the refused and the current table with the base, if it is stored.
    pub(crate) fn new(
        base: Version,
        base_table: Option<&Table>,
        ours: &Table,
        conflict: &Conflict,
        remedy: String,
    ) -> Self {
        let theirs = base_table.map(|table| table_file::diff(table, &conflict.table));
        let ours = table_file::diff(base_table.unwrap_or(&conflict.table), ours);
        let path =
            |c: &table_file::Change| format!("{}.{}", c.row, c.column.as_deref().unwrap_or(""));
        let paths = |changes: &[table_file::Change]| changes.iter().map(path).collect();
        let changed_by_them: BTreeSet<String> = paths(theirs.as_deref().unwrap_or_default());
        let changed_by_us: BTreeSet<String> = paths(&ours);
        let both = changed_by_them.intersection(&changed_by_us);
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

impl fmt::Display for Comparison {
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
        true => "  none\n".to_owned(),
        false => changes
            .iter()
            .map(|change| format!("  {change}\n"))
            .collect(),
    }
}
