//! Tables and responses that several tests use.

use ragwortrill_core::table_file;
use serde_json::{Value, json};

/// A valid table file with one service.
pub(crate) const TABLE_FILE: &str = r#"{
  "data_centres": [{"name": "north", "region": "west"}],
  "services": [{
    "name": "orders", "slots": 6, "connections": 110, "deadline": "5s", "divided_by_key": false,
    "targets": [{"name": "orders-1", "address": "127.0.0.1:80", "data_centre": "north"}]
  }]
}
"#;

/// Returns the sample with a text replaced.
pub(crate) fn edited(from: &str, to: &str) -> String {
    assert!(TABLE_FILE.contains(from), "the sample has no {from:?}");
    TABLE_FILE.replace(from, to)
}

/// Returns the table of a file, as the daemon sends it.
pub(crate) fn table(file: &str) -> Value {
    json!(table_file::parse(file).expect("the sample is valid"))
}

/// Returns a version of the table, as the daemon sends it.
pub(crate) fn table_version(version: u64, file: &str) -> Value {
    json!({"version": version, "table": table(file)})
}

/// Returns the response to an accepted change.
pub(crate) fn accepted() -> Value {
    json!({"offset": 42, "effect": "applied", "version": 7, "in_force": "everywhere"})
}

/// Returns a problem document.
pub(crate) fn problem(run: &str, title: &str) -> Value {
    json!({"type": "about:blank", "title": title, "remedy": "wait for the log", "run": run})
}
