//! The operators' command line.

pub mod api;
mod arguments;
mod change;
mod client;
mod command;
mod conflict;
mod context;
mod error;
mod grid;
mod help;
mod inspect;
mod option;
mod output;
mod status;
mod submit;
mod table;
mod timeline;

use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

use crate::{
    arguments::Arguments, command::Command, context::Context, error::Error, output::Output,
};

/// Runs a command line, given without the program's name. Results go to stdout, errors to stderr.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let options = arguments.iter().take_while(|argument| *argument != "--");
    let json = options.into_iter().any(|option| option == "--json");
    let result = execute(arguments).and_then(|output| {
        let written = write(&mut io::stdout(), &output.render(json));
        written.map_err(Error::Output)
    });
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    // If stderr is closed, the exit code is all that can be reported.
    let _ = write(&mut io::stderr(), &error.output().render(json));
    ExitCode::from(error.code())
}

fn write(stream: &mut impl Write, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())?;
    stream.flush()
}

fn execute(arguments: Vec<OsString>) -> Result<Output, Error> {
    let arguments = Arguments::parse(arguments)?;
    if arguments.has("--version") {
        return Ok(Output::text(env!("CARGO_PKG_VERSION")));
    }
    if arguments.has("--help") {
        return help::show(&arguments.positionals);
    }
    let (command, positionals) = Command::find(&arguments.positionals)?;
    command.check(&arguments, positionals)?;
    (command.run)(&Context::new(&arguments, positionals))
}
