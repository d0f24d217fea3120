//! Runs a complete system on this machine under load and checks its guarantees.
//!
//! Usage: `cargo run --release --example demo -- --seconds 10`. Further options are `--seed N`,
//! `--daemons N`, `--json`, and `--fault break|repeat|stray`, which makes the check fail.
//!
//! The demo starts stand-ins of the platform and at least one daemon per data centre as threads.
//! It sends lookups, orders and downloads, drains a target, and takes a data centre out of service
//! and back. The last line of output is JSON. The exit code is 1 if an order ran twice, a request
//! ran at the wrong target, or an answer was cut off or did not match its request.

#[path = "demo/arguments.rs"]
mod arguments;
#[path = "demo/mod.rs"]
mod demo;
#[path = "../tests/harness/mod.rs"]
mod harness;
#[path = "demo/screen.rs"]
mod screen;

fn main() -> anyhow::Result<()> {
    let arguments = arguments::parse()?;
    let screen = screen::Screen::new(&arguments);
    let summary = demo::run(&arguments.plan, |progress| screen.show(&progress))?;
    screen.finish(&summary)?;
    std::process::exit(i32::from(!summary.is_good()));
}
