//! The platform of a sample system as one process: log service, host list and all targets.

use std::{fs, net::SocketAddr, path::PathBuf, thread, time::Duration};

use anyhow::{Context, Result, anyhow};
use pico_args::Arguments;
use ragwortrill_core::{name, sheet, table, time::Span};
use ragwortrill_standin::{
    hosts, log,
    target::{Server, Settings},
};

const HELP: &str = "\
Runs stand-ins of the log service, the host list and a table's targets until it is ended.

Usage: platform --table FILE --log ADDRESS [--hosts ADDRESS] [--late TARGET]

Options:
  --table FILE     Table whose targets are started
  --log ADDRESS    Address of the log service
  --hosts ADDRESS  Address of the host list, which is empty
  --late TARGET    Target that takes twice its service's deadline for each request
";

/// Time that a request takes.
const SERVICE_TIME: Span = Span::from_millis(5);

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let path: PathBuf = arguments.value_from_str("--table")?;
    let text =
        fs::read_to_string(&path).with_context(|| format!("{} can't be read", path.display()))?;
    let table = sheet::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow!("{}", lines.join("\n"))
    })?;
    let late: Option<name::Target> = arguments.opt_value_from_str("--late")?;
    let address: SocketAddr = arguments.value_from_str("--log")?;
    let _log = log::Server::start_at(address)?;
    let address: Option<SocketAddr> = arguments.opt_value_from_str("--hosts")?;
    let _hosts = address.map(|address| hosts::Server::start_at(address, Vec::new()));
    let targets = start(&table, late.as_ref())?;
    println!("log service and {} targets run", targets.len());
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

fn start(table: &table::Table, late: Option<&name::Target>) -> Result<Vec<Server>> {
    let rows = table.services.values();
    let rows = rows.flat_map(|service| service.targets.iter().map(move |row| (service, row)));
    let mut servers = Vec::new();
    for (service, (name, target)) in rows {
        let is_late = late == Some(name);
        let settings = Settings {
            checks_epoch: target.checks_epoch,
            connections: service.connections as usize,
            keeps_deadlines: !is_late,
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
