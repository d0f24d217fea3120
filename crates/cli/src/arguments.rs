//! Parsed words and options of a command line.

use std::{collections::BTreeMap, ffi::OsString};

use ragwortrill_core::table_file::suggest;

use crate::{error::Error, option};

/// Words and options of a command line. A flag has an empty value.
#[derive(Debug, Default)]
pub(crate) struct Arguments {
    pub(crate) words: Vec<String>,
    pub(crate) options: BTreeMap<&'static str, String>,
}

impl Arguments {
    /// Parses a command line. Words after `--` are never options.
    pub(crate) fn parse(mut words: Vec<OsString>) -> Result<Self, Error> {
        let end = words.iter().position(|word| word == "--");
        let verbatim = end.map(|end| words.split_off(end)).unwrap_or_default();
        let words = words.into_iter().flat_map(split).collect();
        let mut parser = pico_args::Arguments::from_vec(words);
        let mut options = BTreeMap::new();
        for choice in &option::ALL {
            let value = match choice.value {
                Some(_) => parser.opt_value_from_str(choice.name).map_err(wrong)?,
                None => parser.contains(choice.name).then(String::new),
            };
            if let Some(value) = value {
                options.insert(choice.name, value);
            }
        }
        let words = parser.finish();
        let words = words.into_iter().map(text).collect::<Result<Vec<_>, _>>()?;
        if let Some(word) = words.iter().find(|word| word.starts_with('-')) {
            return Err(unknown(word));
        }
        let verbatim = verbatim.into_iter().skip(1).map(text);
        let words = words.into_iter().map(Ok).chain(verbatim);
        Ok(Self {
            words: words.collect::<Result<_, _>>()?,
            options,
        })
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.options.contains_key(name)
    }
}

/// Splits `--name=value`, which pico-args accepts only as two words.
fn split(word: OsString) -> Vec<OsString> {
    let parts = word.to_str().and_then(|text| text.split_once('='));
    match parts {
        Some((name, value)) if option::find(name).is_some_and(|o| o.value.is_some()) => {
            vec![name.into(), value.into()]
        }
        _ => vec![word],
    }
}

fn text(word: OsString) -> Result<String, Error> {
    word.into_string()
        .map_err(|word| Error::usage(format!("{word:?} is not UTF-8"), "write it in UTF-8"))
}

fn wrong(error: pico_args::Error) -> Error {
    let message = match error {
        pico_args::Error::OptionWithoutAValue(name) => format!("{name} has no value"),
        error => error.to_string(),
    };
    Error::usage(message, "run 'ragwortrill --help'")
}

fn unknown(word: &str) -> Error {
    if option::find(word).is_some() {
        return Error::usage(format!("{word} is given twice"), "remove one of the two");
    }
    let names = option::ALL.iter().map(|choice| choice.name);
    let hint = match suggest(word, names) {
        Some(near) => format!("did you mean {near}?"),
        None => "run 'ragwortrill --help'; write words that begin with '-' after '--'".to_owned(),
    };
    Error::usage(format!("{word} is not an option"), hint)
}
