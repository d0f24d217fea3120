//! A command's positional arguments, options and environment.

use std::{
    env, fs,
    path::{Path, PathBuf},
    str::FromStr,
};

use ragwortrill_core::{name, table_file::TableFile, time::Span};

use crate::{arguments::Arguments, client::Client, error::Error};

/// Default time for which a change with an unknown outcome is retried.
const DEFAULT_TIMEOUT: Span = Span::from_secs(15);

/// Access to a command's positional arguments and options, with defaults from the environment.
pub(crate) struct Context<'a> {
    arguments: &'a Arguments,
    pub(crate) positionals: &'a [String],
}

impl<'a> Context<'a> {
    pub(crate) fn new(arguments: &'a Arguments, positionals: &'a [String]) -> Self {
        Self {
            arguments,
            positionals,
        }
    }

    pub(crate) fn has(&self, option: &str) -> bool {
        self.arguments.has(option)
    }

    pub(crate) fn option(&self, name: &str) -> Option<&str> {
        self.arguments.options.get(name).map(String::as_str)
    }

    /// Parses an option's value.
    pub(crate) fn parse_option<T: FromStr<Err: ToString>>(
        &self,
        name: &str,
    ) -> Result<Option<T>, Error> {
        let parse = |text: &str| {
            let value = text.parse();
            value.map_err(|error: T::Err| {
                let message = format!("{name}: {}", quote_value(text, &error.to_string()));
                Error::usage(message, "run 'ragwortrill --help'")
            })
        };
        self.option(name).map(parse).transpose()
    }

    /// Parses a positional argument.
    pub(crate) fn positional<T: FromStr<Err: ToString>>(&self, index: usize) -> Result<T, Error> {
        let text = &self.positionals[index];
        text.parse().map_err(|error: T::Err| {
            Error::usage(
                quote_value(text, &error.to_string()),
                "run 'ragwortrill --help'",
            )
        })
    }

    pub(crate) fn service(&self) -> Result<Option<name::Service>, Error> {
        self.parse_option("--service")
    }

    pub(crate) fn timeout(&self) -> Result<Span, Error> {
        Ok(self.parse_option("--timeout")?.unwrap_or(DEFAULT_TIMEOUT))
    }

    /// Returns the client of the chosen daemon.
    pub(crate) fn client(&self) -> Result<Client, Error> {
        let variable = variable("RAGWORTRILL_DAEMON");
        let text = self.option("--daemon").map(str::to_owned).or(variable);
        let text = text.ok_or_else(|| {
            let hint = "give --daemon IP:PORT or set RAGWORTRILL_DAEMON";
            Error::usage("no daemon is given", hint)
        })?;
        let daemon = text.parse().map_err(|_| {
            let hint = "write an IP address and the operators' port, such as 127.0.0.1:9000";
            Error::usage(format!("{text:?} is not a daemon's address"), hint)
        })?;
        Ok(Client { daemon })
    }

    /// Returns the token that permits changes.
    pub(crate) fn token(&self) -> Result<String, Error> {
        let token = match self.option("--token-file") {
            Some(path) => Some(read_file(Path::new(path))?),
            None => variable("RAGWORTRILL_TOKEN"),
        };
        let token = token.map(|token| token.trim().to_owned());
        match token {
            Some(token) if !token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic()) => {
                Ok(token)
            }
            Some(_) => Err(Error::usage(
                "the token is empty or has characters other than visible ASCII",
                "check --token-file or RAGWORTRILL_TOKEN",
            )),
            None => Err(Error::usage(
                "a change needs a token",
                "give --token-file FILE or set RAGWORTRILL_TOKEN",
            )),
        }
    }

    pub(crate) fn actor(&self) -> Result<String, Error> {
        let actor = self.option("--actor").map(str::to_owned);
        actor.or_else(|| variable("USER")).ok_or_else(|| {
            Error::usage("a change needs to state who makes it", "give --actor NAME")
        })
    }

    pub(crate) fn reason(&self) -> Result<String, Error> {
        let reason = self.option("--reason").map(str::trim).unwrap_or_default();
        match reason.is_empty() {
            true => Err(Error::usage(
                "a change needs a reason",
                "give --reason TEXT",
            )),
            false => Ok(reason.to_owned()),
        }
    }

    /// Reads and parses the table file that a positional argument names.
    pub(crate) fn table_file(&self, index: usize) -> Result<TableFile, Error> {
        let path = PathBuf::from(&self.positionals[index]);
        let text = read_file(&path)?;
        TableFile::parse(&text).map_err(|faults| Error::Faults { path, faults })
    }
}

/// Adds the invalid value to a parser's error message that does not quote it.
fn quote_value(text: &str, error: &str) -> String {
    let quoted = format!("{text:?}");
    match error.contains(&quoted) {
        true => error.to_owned(),
        false => format!("{quoted}: {error}"),
    }
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}
