//! Runs the log service, the host list and the targets of a sample system in one process.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use anyhow::{Context, Result, anyhow};
use pico_args::Arguments;
use ragwortrill_core::{name, table, table_file, time::Span};
use ragwortrill_standin::{
    hosts, log,
    target::{Server, Settings},
};

const HELP: &str = "\
Runs stand-ins of the log service, the host list and a table's targets until terminated.

Usage: platform [OPTIONS]

Options:
  --log ADDRESS       Start the log service
  --hosts ADDRESS     Start an empty host list
  --table FILE        Start the targets of a table
  --data-centre NAME  Start only the targets in this data centre
  --late TARGET       Target that takes twice its service's deadline for each request
";

/// Service time of requests.
const SERVICE_TIME: Span = Span::from_millis(5);

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let log: Option<SocketAddr> = arguments.opt_value_from_str("--log")?;
    let hosts: Option<SocketAddr> = arguments.opt_value_from_str("--hosts")?;
    let path: Option<PathBuf> = arguments.opt_value_from_str("--table")?;
    let selection = Selection {
        data_centre: arguments.opt_value_from_str("--data-centre")?,
        late: arguments.opt_value_from_str("--late")?,
    };
    let log = log.map(log::Server::start_at).transpose()?;
    let list = |address| hosts::Server::start_at(address, Vec::new());
    let hosts = hosts.map(list).transpose()?;
    let targets = match path {
        Some(path) => start(&read(&path)?, &selection)?,
        None => Vec::new(),
    };
    println!(
        "log service: {}; host list: {}; targets: {}",
        if log.is_some() { "runs" } else { "no" },
        if hosts.is_some() { "runs" } else { "no" },
        targets.len()
    );
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

/// Selects the targets to start, and the one that misses deadlines.
struct Selection {
    data_centre: Option<name::DataCentre>,
    late: Option<name::Target>,
}

fn read(path: &Path) -> Result<table::Table> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("the table file {} can't be read", path.display()))?;
    table_file::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow!("{}", lines.join("\n"))
    })
}

fn start(table: &table::Table, selection: &Selection) -> Result<Vec<Server>> {
    let rows = table.services.values();
    let rows = rows.flat_map(|service| service.targets.iter().map(move |row| (service, row)));
    let mut servers = Vec::new();
    for (service, (name, target)) in rows {
        if selection
            .data_centre
            .as_ref()
            .is_some_and(|dc| *dc != target.data_centre)
        {
            continue;
        }
        let is_late = selection.late.as_ref() == Some(name);
        let settings = Settings {
            checks_epoch: target.checks_epoch,
            connections: service.connections as usize,
            enforces_deadlines: !is_late,
            service_time: match is_late {
                true => service.deadline + service.deadline,
                false => SERVICE_TIME,
            },
            slots: service.slots as usize,
            ..Settings::default()
        };
        let server = Server::start_at(target.address, name.clone(), settings);
        servers.push(server.with_context(|| format!("{name} at {}", target.address))?);
    }
    Ok(servers)
}
