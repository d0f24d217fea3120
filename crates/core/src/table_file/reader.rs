//! Conversion of a parsed file to a table.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde_json::Value;

use super::{Fault, TableFile, column, row::Row, rule};
use crate::{
    name,
    number::Version,
    table::{Service, Table, Target},
};

/// Reads a file's table and version. The result is valid only if no fault is recorded.
pub(crate) fn table_file(value: &Value, faults: &RefCell<Vec<Fault>>) -> TableFile {
    let file = Row::new(String::new(), value, faults);
    let version = version(&file);
    let data_centres = data_centres(&file);
    let rows = file.rows("services").unwrap_or_default();
    let known = data_centres.iter().map(|(name, _)| name.clone()).collect();
    let mut checker = rule::Checker::new(&known);
    let services = rows
        .iter()
        .filter_map(|row| service(row, &mut checker))
        .collect();
    file.finish();
    let regions = data_centres.into_iter();
    let table = Table {
        data_centres: regions
            .filter_map(|(name, region)| Some((name, region?)))
            .collect(),
        services,
    };
    TableFile { version, table }
}

fn version(file: &Row) -> Option<Version> {
    let value = file.get("version")?;
    if value.as_u64().is_none() {
        let remedy = "write the version that the file was edited from, or remove the field";
        file.reject("version", &value.to_string(), "a whole number", remedy);
    }
    value.as_u64().map(Version)
}

/// Reads the data centres. One without a valid region is included, so that its targets cause no
/// further faults.
fn data_centres(file: &Row) -> Vec<(name::DataCentre, Option<name::Region>)> {
    let rows = file.rows("data_centres").unwrap_or_default();
    let read = |row: &Row| {
        let name = row.name("name");
        let region = row.name("region");
        row.finish();
        Some((name?, region))
    };
    rows.iter().filter_map(read).collect()
}

fn service(row: &Row, checker: &mut rule::Checker) -> Option<(name::Service, Service)> {
    let name = row.name("name");
    let slots = row.number(&column::SLOTS);
    let connections = row.number(&column::CONNECTIONS);
    checker.connections(row, slots, connections);
    let queue = row.number(&column::QUEUE);
    let deadline = row.span(&column::DEADLINE);
    let divided_by_key = row.flag(&column::DIVIDED_BY_KEY);
    let slices = row.number(&column::SLICES);
    let idempotent_methods = methods(row);
    let retry_percent = row.number(&column::RETRY_PERCENT);
    let slow_start = row.span(&column::SLOW_START);
    let reserved_percent = row.number(&column::RESERVED_PERCENT);
    let id_window = row.span(&column::ID_WINDOW);
    checker.window(row, deadline, id_window);
    let moves_per_minute = row.number(&column::MOVES_PER_MINUTE);
    let hot_key_percent = row.number(&column::HOT_KEY_PERCENT);
    let targets = targets(row, checker);
    row.finish();
    let service = Service {
        targets,
        slots: slots.unwrap_or_default(),
        connections: connections.unwrap_or_default(),
        queue: queue.unwrap_or_default(),
        deadline: deadline.unwrap_or_default(),
        divided_by_key,
        slices: slices.unwrap_or_default(),
        idempotent_methods,
        retry_percent: retry_percent.unwrap_or_default(),
        slow_start: slow_start.unwrap_or_default(),
        reserved_percent: reserved_percent.unwrap_or_default(),
        id_window: id_window.unwrap_or_default(),
        moves_per_minute: moves_per_minute.unwrap_or_default(),
        hot_key_percent: hot_key_percent.unwrap_or_default(),
    };
    Some((name?, service))
}

fn methods(row: &Row) -> BTreeSet<String> {
    const FIELD: &str = "idempotent_methods";
    let Some(value) = row.get(FIELD) else {
        return column::SAFE_METHODS.map(str::to_owned).into();
    };
    let Some(items) = value.as_array() else {
        let remedy = "write the methods in brackets: [\"GET\", \"HEAD\"]";
        row.reject(FIELD, &value.to_string(), "a list of HTTP methods", remedy);
        return BTreeSet::new();
    };
    let mut methods = BTreeSet::new();
    for (number, item) in items.iter().enumerate() {
        let method = item.as_str().unwrap_or_default();
        let field = format!("{FIELD}[{number}]");
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
            let remedy = "write a method such as \"GET\"";
            row.reject(&field, &item.to_string(), "a method in upper case", remedy);
        } else if !methods.insert(method.to_owned()) {
            row.reject(
                &field,
                &item.to_string(),
                "each method once",
                "remove one of the two",
            );
        }
    }
    methods
}

fn targets(row: &Row, checker: &mut rule::Checker) -> BTreeMap<name::Target, Target> {
    let Some(rows) = row.rows("targets") else {
        return BTreeMap::new();
    };
    let (weights, targets): (Vec<_>, Vec<_>) = rows.iter().map(|row| target(row, checker)).unzip();
    checker.weights(row, &weights);
    targets.into_iter().flatten().collect()
}

fn target(row: &Row, checker: &mut rule::Checker) -> (Option<u32>, Option<(name::Target, Target)>) {
    let name: Option<name::Target> = row.name("name");
    if let Some(name) = &name {
        checker.target_name(row, name);
    }
    let range = "an IP number and a port such as 127.0.0.1:8080";
    let address: Option<SocketAddr> = row.text("address", range, "write numbers, not a host name");
    let address = address.filter(|address| checker.address(row, *address));
    let data_centre: Option<name::DataCentre> = row.name("data_centre");
    let data_centre = data_centre.filter(|name| checker.data_centre(row, name));
    let weight = row.number(&column::WEIGHT);
    let checks_epoch = row.flag(&column::CHECKS_EPOCH);
    row.finish();
    let target = || {
        let target = Target {
            address: address?,
            data_centre: data_centre?,
            weight: weight?,
            checks_epoch,
        };
        Some((name?, target))
    };
    (weight, target())
}
