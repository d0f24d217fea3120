//! The result of a command, as text and as JSON.

use serde::Serialize;
use serde_json::{Value, json};

/// The result of a command.
#[derive(Debug)]
pub(crate) struct Page {
    text: String,
    value: Value,
}

impl Page {
    pub(crate) fn new(text: impl Into<String>, value: impl Serialize) -> Self {
        Self {
            text: text.into(),
            value: json!(value),
        }
    }

    /// Creates a page of one text, which JSON shows as a string.
    pub(crate) fn text(text: impl Into<String>) -> Self {
        let text = text.into();
        let value = Value::from(text.clone());
        Self { text, value }
    }

    pub(crate) fn render(&self, json: bool) -> String {
        let text = match json {
            true => format!("{:#}", self.value),
            false => self.text.clone(),
        };
        match text.is_empty() || text.ends_with('\n') {
            true => text,
            false => text + "\n",
        }
    }
}
