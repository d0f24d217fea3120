//! The operators' command line.

pub mod api;
mod arguments;
mod change;
mod client;
mod command;
mod context;
mod dispute;
mod error;
mod grid;
mod help;
mod look;
mod option;
mod page;
mod status;
mod story;
mod submit;
mod table;

use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

use crate::{arguments::Arguments, command::Command, context::Context, error::Error, page::Page};

/// Runs a command line without the program's name. Results go to stdout, errors to stderr.
pub fn run(words: Vec<OsString>) -> ExitCode {
    let options = words.iter().take_while(|word| *word != "--");
    let json = options.into_iter().any(|word| word == "--json");
    let done = execute(words).and_then(|page| {
        let written = write(&mut io::stdout(), &page.render(json));
        written.map_err(Error::Output)
    });
    let Err(error) = done else {
        return ExitCode::SUCCESS;
    };
    // If stderr is closed, the exit code is all that can be reported.
    let _ = write(&mut io::stderr(), &error.page().render(json));
    ExitCode::from(error.code())
}

fn write(stream: &mut impl Write, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())?;
    stream.flush()
}

fn execute(words: Vec<OsString>) -> Result<Page, Error> {
    let arguments = Arguments::parse(words)?;
    if arguments.has("--version") {
        return Ok(Page::text(env!("CARGO_PKG_VERSION")));
    }
    if arguments.has("--help") {
        return help::page(&arguments.words);
    }
    let (command, words) = Command::find(&arguments.words)?;
    command.check(&arguments, words)?;
    (command.run)(&Context::new(&arguments, words))
}
