//! Command line of the demo.

use std::time::Duration;

use anyhow::{Result, ensure};

use crate::demo::Plan;

/// Arguments of the command line.
pub struct Arguments {
    /// What to run.
    pub plan: Plan,
    /// Whether to print only the line of JSON.
    pub json: bool,
}

/// Parses the arguments of this process.
pub fn parse() -> Result<Arguments> {
    let mut parser = pico_args::Arguments::from_env();
    let seconds: u64 = parser.opt_value_from_str("--seconds")?.unwrap_or(10);
    let plan = Plan {
        daemons: parser.opt_value_from_str("--daemons")?.unwrap_or(3),
        fault: parser.opt_value_from_str("--fault")?,
        length: Duration::from_secs(seconds),
        seed: parser.opt_value_from_str("--seed")?.unwrap_or(1),
    };
    let json = parser.contains("--json");
    let rest = parser.finish();
    ensure!(
        rest.is_empty(),
        "unknown arguments {rest:?}; use --seconds N, --seed N, --daemons N, --fault NAME and --json"
    );
    ensure!(
        (3..=30).contains(&plan.daemons),
        "--daemons {} is out of range; use 3 to 30",
        plan.daemons
    );
    Ok(Arguments { plan, json })
}
