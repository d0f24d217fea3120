//! Parsing of a command line into positional arguments and options.

use std::{collections::BTreeMap, ffi::OsString};

use ragwortrill_core::table_file::suggest;

use crate::{error::Error, option};

/// Positional arguments and options of a command line. A flag has an empty value.
#[derive(Debug, Default)]
pub(crate) struct Arguments {
    pub(crate) positionals: Vec<String>,
    pub(crate) options: BTreeMap<&'static str, String>,
}

impl Arguments {
    /// Parses a command line. Arguments after `--` are always positional.
    pub(crate) fn parse(mut arguments: Vec<OsString>) -> Result<Self, Error> {
        let separator = arguments.iter().position(|argument| argument == "--");
        let after_separator = separator
            .map(|index| arguments.split_off(index))
            .unwrap_or_default();
        let arguments = arguments.into_iter().flat_map(split).collect();
        let mut parser = pico_args::Arguments::from_vec(arguments);
        let mut options = BTreeMap::new();
        for option in &option::ALL {
            let value = match option.value {
                Some(_) => parser
                    .opt_value_from_str(option.name)
                    .map_err(parse_error)?,
                None => parser.contains(option.name).then(String::new),
            };
            if let Some(value) = value {
                options.insert(option.name, value);
            }
        }
        let before_separator = parser.finish();
        let before_separator = before_separator
            .into_iter()
            .map(text)
            .collect::<Result<Vec<_>, _>>()?;
        if let Some(name) = before_separator.iter().find(|text| text.starts_with('-')) {
            return Err(unknown_option(name));
        }
        let after_separator = after_separator.into_iter().skip(1).map(text);
        let positionals = before_separator.into_iter().map(Ok).chain(after_separator);
        Ok(Self {
            positionals: positionals.collect::<Result<_, _>>()?,
            options,
        })
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.options.contains_key(name)
    }
}

/// Splits `--name=value`, because pico-args accepts a name and its value only as two arguments.
fn split(argument: OsString) -> Vec<OsString> {
    let parts = argument.to_str().and_then(|text| text.split_once('='));
    match parts {
        Some((name, value)) if option::find(name).is_some_and(|o| o.value.is_some()) => {
            vec![name.into(), value.into()]
        }
        _ => vec![argument],
    }
}

fn text(argument: OsString) -> Result<String, Error> {
    argument
        .into_string()
        .map_err(|raw| Error::usage(format!("{raw:?} is not UTF-8"), "encode it as UTF-8"))
}

fn parse_error(error: pico_args::Error) -> Error {
    let message = match error {
        pico_args::Error::OptionWithoutAValue(name) => format!("{name} has no value"),
        error => error.to_string(),
    };
    Error::usage(message, "run 'ragwortrill --help'")
}

fn unknown_option(name: &str) -> Error {
    if option::find(name).is_some() {
        return Error::usage(format!("{name} is given twice"), "remove one of the two");
    }
    let names = option::ALL.iter().map(|option| option.name);
    let hint = match suggest(name, names) {
        Some(near) => format!("did you mean {near}?"),
        None => "run 'ragwortrill --help'; arguments starting with '-' go after '--'".to_owned(),
    };
    Error::usage(format!("{name} is not an option"), hint)
}
