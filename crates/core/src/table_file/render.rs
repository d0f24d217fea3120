//! Rendering of a table as a file.

use std::{collections::BTreeSet, fmt::Display};

use super::TableFile;
use crate::{
    name,
    table::{Service, Target},
};

pub(crate) fn table_file(table_file: &TableFile) -> String {
    let version = table_file.version.map(|v| format!("  \"version\": {v},\n"));
    let data_centres = table_file.table.data_centres.iter();
    let data_centres = data_centres
        .map(|(name, region)| format!("    {{\"name\": \"{name}\", \"region\": \"{region}\"}}"));
    let services = table_file.table.services.iter();
    let services = services.map(|(name, row)| service(name, row));
    format!(
        "{{\n{}  \"data_centres\": {},\n  \"services\": {}\n}}\n",
        version.unwrap_or_default(),
        list(data_centres, "  "),
        list(services, "  "),
    )
}

fn list(items: impl Iterator<Item = String>, indent: &str) -> String {
    let items: Vec<String> = items.collect();
    match items.is_empty() {
        true => "[]".to_owned(),
        false => format!("[\n{}\n{indent}]", items.join(",\n")),
    }
}

fn service(name: &name::Service, row: &Service) -> String {
    let targets = row.targets.iter().map(|(name, row)| target(name, row));
    let fields = [
        ("name", quote(name)),
        ("slots", row.slots.to_string()),
        ("connections", row.connections.to_string()),
        ("queue", row.queue.to_string()),
        ("deadline", quote(row.deadline)),
        ("divided_by_key", row.divided_by_key.to_string()),
        ("slices", row.slices.to_string()),
        ("idempotent_methods", methods(&row.idempotent_methods)),
        ("retry_percent", row.retry_percent.to_string()),
        ("slow_start", quote(row.slow_start)),
        ("reserved_percent", row.reserved_percent.to_string()),
        ("id_window", quote(row.id_window)),
        ("moves_per_minute", row.moves_per_minute.to_string()),
        ("hot_key_percent", row.hot_key_percent.to_string()),
        ("targets", list(targets, "      ")),
    ];
    let fields = fields.map(|(column, value)| format!("      \"{column}\": {value}"));
    format!("    {{\n{}\n    }}", fields.join(",\n"))
}

fn target(name: &name::Target, row: &Target) -> String {
    let Target {
        address,
        data_centre,
        weight,
        checks_epoch,
    } = row;
    format!(
        "        {{\"name\": \"{name}\", \"address\": \"{address}\", \
         \"data_centre\": \"{data_centre}\", \"weight\": {weight}, \
         \"checks_epoch\": {checks_epoch}}}"
    )
}

fn quote(value: impl Display) -> String {
    serde_json::Value::from(value.to_string()).to_string()
}

fn methods(methods: &BTreeSet<String>) -> String {
    let methods: Vec<String> = methods.iter().map(quote).collect();
    format!("[{}]", methods.join(", "))
}
