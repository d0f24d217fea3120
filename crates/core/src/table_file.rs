//! File format of the operators' table: parsing that reports all faults at once, rendering, and
//! differences.
//!
//! A file is a JSON object with `data_centres` and `services`, both lists of rows with a `name`,
//! and optionally the `version` that it was edited from. Spans of time are texts such as `"250ms"`.
//!
//! | Row | Column | Values | Default |
//! |---|---|---|---|
//! | data centre | `region` | name | required |
//! | service | `targets` | rows, at least one with a weight above 0 | required |
//! | service | `slots` | 1 to 10000 | required |
//! | service | `connections` | `slots` to 100000 | required |
//! | service | `queue` | 0 to 1000000 | 100 |
//! | service | `deadline` | 1ms to 1h | required |
//! | service | `divided_by_key` | true or false | required |
//! | service | `slices` | 1 to 1048576 | 1024 |
//! | service | `idempotent_methods` | HTTP methods in upper case | `GET`, `HEAD`, `OPTIONS` |
//! | service | `retry_percent` | 0 to 100 | 10 |
//! | service | `slow_start` | 0us to 1h | 10s |
//! | service | `reserved_percent` | 0 to 100 | 0 |
//! | service | `id_window` | `deadline` to 24h | 1h |
//! | service | `moves_per_minute` | 1 to 1048576 | 600 |
//! | service | `hot_key_percent` | 1 to 100 | 20 |
//! | target | `address` | IP number and port, unique | required |
//! | target | `data_centre` | name of a data centre row | required |
//! | target | `weight` | 0 to 1000000 | 1 |
//! | target | `checks_epoch` | true or false | false |

mod column;
mod diff;
mod fault;
mod json;
mod reader;
mod render;
mod row;
mod rule;

use std::cell::RefCell;

use serde::{Deserialize, Serialize};

use crate::{number::Version, table::Table};

pub use self::{
    column::{Duration, Flag, Number},
    diff::{Change, diff},
    fault::{Fault, suggest},
    json::parse as parse_json,
    row::Row,
};

/// Content of a table file.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableFile {
    /// Version of the table that the file was edited from, if the file states one.
    pub version: Option<Version>,
    /// Table in the file.
    pub table: Table,
}

impl TableFile {
    /// Parses a file. The error lists all faults of the file, in the order of its rows.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let faults = RefCell::default();
        let table_file =
            json::parse(text, &faults).map(|value| reader::table_file(&value, &faults));
        let faults = faults.into_inner();
        match table_file {
            Some(table_file) if faults.is_empty() => Ok(table_file),
            _ => Err(faults),
        }
    }

    /// Renders the file with one line per target, so that line-based diffs are readable.
    pub fn render(&self) -> String {
        render::table_file(self)
    }
}

/// Parses the table of a file. The error lists all faults of the file.
pub fn parse(text: &str) -> Result<Table, Vec<Fault>> {
    TableFile::parse(text).map(|table_file| table_file.table)
}

/// Renders a table as a file that states no version.
pub fn render(table: &Table) -> String {
    let table = table.clone();
    let version = None;
    TableFile { version, table }.render()
}

/// Lists the faults of a table that was not read from a file, such as one received in a change.
pub fn check(table: &Table) -> Vec<Fault> {
    parse(&render(table)).err().unwrap_or_default()
}
