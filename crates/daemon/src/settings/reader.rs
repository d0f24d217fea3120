//! Reads the settings from a parsed file.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, path::Path};

use ragwortrill_core::table_file::{Fault, Row};
use serde_json::Value;

use super::{Bootstrap, Settings, Snapshots, column, secret, times};

const ADDRESS_FORMAT: &str = "an IP number and a port such as 127.0.0.1:8080";
const ADDRESS_REMEDY: &str = "write numbers, not a host name";

/// Reads the settings. The result may be used only if no fault was added.
pub(super) fn read(
    value: &Value,
    directory: &Path,
    faults: &RefCell<Vec<Fault>>,
) -> Option<Settings> {
    let row = Row::new(String::new(), value, faults);
    let host = row.name("host");
    let data_centre = row.name("data_centre");
    let listening = ["callers", "peers", "operators"].map(|field| (field, address(&row, field)));
    check_distinct(&row, &listening);
    let [callers, peers, operators] = listening.map(|(_, address)| address);
    let log = address(&row, "log");
    let bootstrap = bootstrap(&row);
    let secret = secret::read(&row, "secret_file", directory);
    let operator_token = secret::read(&row, "operator_token_file", directory);
    let workers = row.number(&column::WORKERS);
    let drain_limit = row.span(&column::DRAIN_LIMIT);
    let retention = row.span(&column::RETENTION);
    let records = row.number(&column::SNAPSHOT_RECORDS);
    let percent = row.number(&column::SNAPSHOT_PERCENT);
    let times = times::read(&row, faults);
    row.finish();
    Some(Settings {
        host: host?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        operators: operators?,
        log: log?,
        secret: secret?,
        operator_token: operator_token?,
        workers: workers? as usize,
        drain_limit: drain_limit?,
        snapshots: Snapshots {
            records: u64::from(records?),
            retention: retention?,
            percent: percent?,
        },
        bootstrap,
        times,
    })
}

fn address(row: &Row, field: &'static str) -> Option<SocketAddr> {
    row.text(field, ADDRESS_FORMAT, ADDRESS_REMEDY)
}

/// Rejects an address that occurs twice. Port 0 selects any free port, so it may occur more than
/// once.
fn check_distinct(row: &Row, addresses: &[(&'static str, Option<SocketAddr>)]) {
    let mut used = BTreeMap::new();
    for (field, address) in addresses {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        if let Some(other) = used.insert(address, field) {
            let range = format!("another address than that of {other}");
            row.reject(field, &address.to_string(), &range, "choose another port");
        }
    }
}

fn bootstrap(row: &Row) -> Bootstrap {
    let hosts = match row.get("hosts") {
        Some(_) => address(row, "hosts"),
        None => None,
    };
    let seeds = match row.get("seeds") {
        Some(Value::Array(items)) => items.iter().enumerate().filter_map(|(number, item)| {
            let seed = item.as_str().and_then(|text| text.parse().ok());
            if seed.is_none() {
                let field = format!("seeds[{number}]");
                row.reject(&field, &item.to_string(), ADDRESS_FORMAT, ADDRESS_REMEDY);
            }
            seed
        }),
        Some(value) => {
            let remedy = "write the addresses in brackets: [\"127.0.0.1:9100\"]";
            row.reject("seeds", &value.to_string(), "a list of addresses", remedy);
            return Bootstrap {
                hosts,
                seeds: Vec::new(),
            };
        }
        None => {
            return Bootstrap {
                hosts,
                seeds: Vec::new(),
            };
        }
    };
    let seeds = seeds.collect();
    Bootstrap { hosts, seeds }
}
