//! The operators' command line.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    ragwortrill_cli::run(env::args_os().skip(1).collect())
}
