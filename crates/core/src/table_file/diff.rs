//! Differences between two tables.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::table::{Service, Table, Target};

/// A difference between two tables: a changed cell, or an added or removed row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Change {
    /// Path of the row, such as `services[orders].targets[order-1]`.
    pub row: String,
    /// Name of the column, or `None` for a whole row.
    pub column: Option<String>,
    /// Value in the earlier table, or `None` if the row was added.
    pub before: Option<String>,
    /// Value in the later table, or `None` if the row was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = &self.row;
        let dot = self.column.as_ref().map(|c| format!(".{c}"));
        let field = format!("{row}{}", dot.unwrap_or_default());
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {field}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "+ {field}: {after}"),
            (Some(before), None) => write!(f, "- {field}: {before}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}

/// Lists the differences between two tables, in the order of rows.
pub fn diff(before: &Table, after: &Table) -> Vec<Change> {
    let (before, after) = (rows(before), rows(after));
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    paths
        .into_iter()
        .flat_map(|path| compare(path, before.get(path), after.get(path)))
        .collect()
}

type Cells = Vec<(&'static str, String)>;

fn compare(row: &str, before: Option<&Cells>, after: Option<&Cells>) -> Vec<Change> {
    let (Some(old), Some(new)) = (before, after) else {
        let row = row.to_owned();
        return vec![Change {
            row,
            column: None,
            before: before.map(summary),
            after: after.map(summary),
        }];
    };
    let cells = old.iter().zip(new).filter(|(old, new)| old != new);
    let change = |(old, new): (&(&str, String), &(&str, String))| Change {
        row: row.to_owned(),
        column: Some(new.0.to_owned()),
        before: Some(old.1.clone()),
        after: Some(new.1.clone()),
    };
    cells.map(change).collect()
}

fn summary(cells: &Cells) -> String {
    let cells: Vec<String> = cells.iter().map(|(c, v)| format!("{c} {v}")).collect();
    cells.join(", ")
}

fn rows(table: &Table) -> BTreeMap<String, Cells> {
    let mut rows = BTreeMap::new();
    for (name, region) in &table.data_centres {
        let cells = vec![("region", region.to_string())];
        rows.insert(format!("data_centres[{name}]"), cells);
    }
    for (name, row) in &table.services {
        let path = format!("services[{name}]");
        for (name, row) in &row.targets {
            rows.insert(format!("{path}.targets[{name}]"), target(row));
        }
        rows.insert(path, service(row));
    }
    rows
}

fn service(row: &Service) -> Cells {
    let methods: Vec<&str> = row.idempotent_methods.iter().map(String::as_str).collect();
    vec![
        ("slots", row.slots.to_string()),
        ("connections", row.connections.to_string()),
        ("queue", row.queue.to_string()),
        ("deadline", row.deadline.to_string()),
        ("divided_by_key", row.divided_by_key.to_string()),
        ("slices", row.slices.to_string()),
        ("idempotent_methods", methods.join(" ")),
        ("retry_percent", row.retry_percent.to_string()),
        ("slow_start", row.slow_start.to_string()),
        ("reserved_percent", row.reserved_percent.to_string()),
        ("id_window", row.id_window.to_string()),
        ("moves_per_minute", row.moves_per_minute.to_string()),
        ("hot_key_percent", row.hot_key_percent.to_string()),
    ]
}

fn target(row: &Target) -> Cells {
    vec![
        ("address", row.address.to_string()),
        ("data_centre", row.data_centre.to_string()),
        ("weight", row.weight.to_string()),
        ("checks_epoch", row.checks_epoch.to_string()),
    ]
}
