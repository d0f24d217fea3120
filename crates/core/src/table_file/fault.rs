//! Faults of a table file.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of a quoted value in a message, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// A fault of a table file.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// Path of the field, such as `services[orders].slots`.
    pub field: String,
    /// Rejected value.
    pub value: String,
    /// Accepted values.
    pub range: String,
    /// How to correct the file.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault. A long value is shortened.
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        range: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: shorten(&value.to_string()),
            range: range.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            range,
            remedy,
        } = self;
        write!(f, "{field}: got {value}, expected {range}; {remedy}")
    }
}

fn shorten(value: &str) -> String {
    match value.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &value[..end]),
        None => value.to_owned(),
    }
}

/// Returns the known word that is most similar to a misspelt one, if it is similar enough.
pub fn suggest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // Up to a third of the characters may differ, and at least one.
    let limit = (word.chars().count() / 3).max(1);
    known
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}
