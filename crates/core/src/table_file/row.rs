//! Typed access to the fields of one JSON object, which records faults and continues.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    str::FromStr,
};

use serde_json::{Map, Value};

use super::{
    Fault,
    column::{Duration, Flag, Number},
    suggest,
};
use crate::{name, time::Span};

/// A JSON object with its path in the file.
#[derive(Debug)]
pub struct Row<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: RefCell<BTreeSet<&'static str>>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Row<'a> {
    /// Wraps a value. Records a fault if it is not an object.
    pub fn new(path: String, value: &'a Value, faults: &'a RefCell<Vec<Fault>>) -> Self {
        let row = Self {
            path,
            fields: value.as_object(),
            known: RefCell::default(),
            faults,
        };
        if row.fields.is_none() {
            let field = match row.path.as_str() {
                "" => "the file",
                path => path,
            };
            let remedy = "write the fields in braces: {\"name\": value, ...}";
            row.push(Fault::new(field, value, "an object", remedy));
        }
        row
    }

    /// Returns the path of a field of this row.
    pub fn path(&self, field: &str) -> String {
        match self.path.as_str() {
            "" => field.to_owned(),
            path => format!("{path}.{field}"),
        }
    }

    /// Records a fault.
    pub fn push(&self, fault: Fault) {
        self.faults.borrow_mut().push(fault);
    }

    /// Records a fault of a field.
    pub fn reject(&self, field: &str, value: &str, range: &str, remedy: &str) {
        self.push(Fault::new(self.path(field), value, range, remedy));
    }

    /// Returns the value of a field, and marks the field as known.
    pub fn get(&self, field: &'static str) -> Option<&'a Value> {
        self.known.borrow_mut().insert(field);
        self.fields?.get(field)
    }

    fn convert<T>(
        &self,
        field: &'static str,
        default: Option<T>,
        expected: (&str, &str),
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let (range, remedy) = expected;
        let value = self.get(field);
        let converted = match value {
            Some(value) => read(value),
            None => default,
        };
        if converted.is_none() && self.fields.is_some() {
            let value = value.map_or("nothing".to_owned(), Value::to_string);
            self.reject(field, &value, range, remedy);
        }
        converted
    }

    /// Reads a whole number. Returns `None` after a fault, so that later rules skip the column.
    pub fn number(&self, column: &Number) -> Option<u32> {
        let (min, max) = column.range;
        let range = format!("a whole number from {min} to {max}");
        let read = |value: &Value| {
            let number = u32::try_from(value.as_u64()?).ok()?;
            (min..=max).contains(&number).then_some(number)
        };
        let expected = (range.as_str(), column.remedy);
        self.convert(column.name, column.default, expected, read)
    }

    /// Reads a span of time. Returns `None` after a fault, so that later rules skip the column.
    pub fn span(&self, column: &Duration) -> Option<Span> {
        let (min, max) = column.range;
        let range = format!("a text such as \"250ms\" from {min} to {max}");
        let read = |value: &Value| {
            let span = value.as_str()?.parse().ok()?;
            (min..=max).contains(&span).then_some(span)
        };
        let expected = (range.as_str(), column.remedy);
        self.convert(column.name, column.default, expected, read)
    }

    /// Reads a boolean. Returns false after a fault.
    pub fn flag(&self, column: &Flag) -> bool {
        let expected = ("true or false", column.remedy);
        let flag = self.convert(column.name, column.default, expected, Value::as_bool);
        flag.unwrap_or_default()
    }

    /// Reads a text and parses it.
    pub fn text<T: FromStr>(&self, field: &'static str, range: &str, remedy: &str) -> Option<T> {
        self.convert(field, None, (range, remedy), |value| {
            value.as_str()?.parse().ok()
        })
    }

    /// Reads a name.
    pub fn name<T: FromStr>(&self, field: &'static str) -> Option<T> {
        let range = "a name of 1 to 63 of a-z, 0-9, '-' and '.'";
        self.text(field, range, "write a name in lower case")
    }

    /// Returns the rows of a list. The path of each contains its name, or its index if the name is
    /// missing, invalid or repeated.
    pub fn rows(&self, field: &'static str) -> Option<Vec<Row<'a>>> {
        let Some(Value::Array(items)) = self.get(field) else {
            let expected = ("a list of rows", "write the rows in brackets: [{...}, ...]");
            self.convert::<()>(field, None, expected, |_| None);
            return None;
        };
        let mut names = BTreeMap::new();
        let row = |(number, value): (usize, &'a Value)| {
            let name = value.get("name").and_then(Value::as_str);
            let first = name.map(|name| *names.entry(name).or_insert(number));
            let label = match (first, name) {
                (Some(first), Some(name)) if first == number && is_name(name) => name.to_owned(),
                _ => number.to_string(),
            };
            let path = self.path(field);
            let row = Row::new(format!("{path}[{label}]"), value, self.faults);
            if let (Some(first), Some(name)) = (first, name)
                && first != number
            {
                let range = format!("a name that no other row of {field} has");
                let remedy = format!("rename or remove this row; {path}[{first}] has the name");
                row.reject("name", &format!("{name:?}"), &range, &remedy);
            }
            row
        };
        Some(items.iter().enumerate().map(row).collect())
    }

    /// Records a fault for each field that was never read.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for field in self.fields.into_iter().flat_map(Map::keys) {
            if known.contains(field.as_str()) {
                continue;
            }
            let remedy = match suggest(field, known.iter().copied()) {
                Some(near) => format!("did you mean {near:?}?"),
                None => "remove it".to_owned(),
            };
            let range = Vec::from_iter(known.iter().copied()).join(", ");
            self.reject(
                field,
                "an unknown field",
                &format!("one of {range}"),
                &remedy,
            );
        }
    }
}

fn is_name(text: &str) -> bool {
    text.parse::<name::Service>().is_ok()
}
