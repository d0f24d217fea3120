//! Runs a whole system on this machine and shows that it keeps its promises.
//!
//! `cargo run --release --example demo -- --seconds 10`, with `--seed N`, `--daemons N`,
//! `--json`, and `--fault break|repeat|stray` to see the check fail. It starts stand-ins of the platform and one daemon per data centre as threads, sends
//! lookups, orders and downloads, drains a target, and takes a data centre out and back. The last
//! line is JSON. The exit code is 1 if an order ran twice, a request ran at the wrong target, or
//! an answer was cut.

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
