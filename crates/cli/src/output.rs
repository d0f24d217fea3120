//! The result of a command, as text and as JSON.

use serde::Serialize;
use serde_json::{Value, json};

/// The result of a command.
#[derive(Debug)]
pub(crate) struct Output {
    text: String,
    value: Value,
}

impl Output {
    pub(crate) fn new(text: impl Into<String>, value: impl Serialize) -> Self {
        Self {
            text: text.into(),
            value: json!(value),
        }
    }

    /// Creates an output that is a JSON string with `--json`.
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
