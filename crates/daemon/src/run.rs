//! The daemon's command line.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use anyhow::{Context, Result, anyhow};
use pico_args::Arguments;
use ragwortrill_entry::journal;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{Daemon, Settings};

const HELP: &str = "\
Routes requests from callers to targets that own their keys exclusively.

Usage: ragwortrilld --settings FILE [--check]
       ragwortrilld --platform [--check]

Options:
  --settings FILE  Settings in JSON
  --platform       Run as an entry host of the users' platform, with its settings
  --check          Check the settings and exit
  -h, --help       Show this help
  -V, --version    Show the version

Example:
  ragwortrilld --settings examples/murrin/daemon-northam.json
";

/// Exit code for a wrong command line.
const WRONG_USAGE: i32 = 2;

/// Runs the daemon and returns its exit code.
pub fn run() -> i32 {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return 0;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("ragwortrilld {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let check = arguments.contains("--check");
    if arguments.contains("--platform") {
        return match arguments.finish().first() {
            Some(argument) => usage(&format!("unknown argument {argument:?}")),
            None => exit_code(platform(check)),
        };
    }
    let path: PathBuf = match arguments.value_from_str("--settings") {
        Ok(path) => path,
        Err(error) => return usage(&error.to_string()),
    };
    let rest = arguments.finish();
    if let Some(argument) = rest.first() {
        return usage(&format!("unknown argument {argument:?}"));
    }
    exit_code(serve(&path, check))
}

fn exit_code(outcome: Result<()>) -> i32 {
    match outcome {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("error: {error:#}");
            1
        }
    }
}

fn platform(check: bool) -> Result<()> {
    let settings = ragwortrill_adapter::read_settings()?;
    if check {
        println!("settings are valid");
        return Ok(());
    }
    journal::start();
    let reload = ragwortrill_adapter::read_settings;
    ragwortrill_entry::run(settings, ragwortrill_adapter::protocol(), reload)
}

fn usage(error: &str) -> i32 {
    eprintln!("error: {error}\n\n{HELP}");
    WRONG_USAGE
}

fn serve(path: &Path, check: bool) -> Result<()> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("settings {} can't be read", path.display()))?;
    let directory = path.parent().unwrap_or(Path::new("."));
    let settings = Settings::parse(&text, directory).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("\n  {fault}"));
        let lines = String::from_iter(lines);
        anyhow!("settings {} are wrong:{lines}", path.display())
    })?;
    if check {
        println!("settings are valid");
        return Ok(());
    }
    log_json();
    let limit = settings.drain_limit;
    let daemon = Daemon::start(settings)?;
    let addresses = daemon.addresses();
    log::info!(
        process = daemon.process().to_string(),
        callers = addresses.callers.to_string(),
        peers = addresses.peers.to_string(),
        operators = addresses.operators.to_string();
        "daemon started"
    );
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    log::info!("graceful shutdown started");
    daemon.stop();
    match daemon.wait(limit.as_duration()) {
        true => log::info!("graceful shutdown ended; no request was cut"),
        false => log::warn!(
            "graceful shutdown reached its limit of {limit}; requests that still run are cut"
        ),
    }
    // Responses that have ended may still be in the sockets' buffers.
    thread::sleep(Duration::from_millis(100));
    Ok(())
}

/// Writes logs as JSON lines to standard error.
fn log_json() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(|out, record| writeln!(out, "{}", journal::line(record)))
        .init();
}
