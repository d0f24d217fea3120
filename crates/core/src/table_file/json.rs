//! JSON parsing that reports repeated keys, of which `serde_json::Value` silently keeps the last.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use super::Fault;

/// Parses a text. Records a fault and returns `None` if the text is not JSON.
pub fn parse(text: &str, faults: &RefCell<Vec<Fault>>) -> Option<Value> {
    let mut input = serde_json::Deserializer::from_str(text);
    let path = String::new();
    let value = Seed { path, faults }.deserialize(&mut input);
    match value.and_then(|value| input.end().map(|()| value)) {
        Ok(value) => Some(value),
        Err(error) => {
            faults.borrow_mut().push(syntax(&error));
            None
        }
    }
}

fn syntax(error: &serde_json::Error) -> Fault {
    let text = error.to_string();
    let cause = text.split(" at line ").next().unwrap_or(&text);
    Fault::new(
        format!("line {}, column {}", error.line(), error.column()),
        format!("invalid JSON ({cause})"),
        "a JSON object",
        "correct the syntax there",
    )
}

struct Seed<'a> {
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Seed<'a> {
    fn field(&self, name: &str) -> Self {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.child(format!("{}{dot}{name}", self.path))
    }

    fn child(&self, path: String) -> Self {
        let faults = self.faults;
        Self { path, faults }
    }

    fn reject_repeated(&self, value: &Value) {
        self.faults.borrow_mut().push(Fault::new(
            &self.path,
            format!("{value} for a key that occurs twice"),
            "each key once in an object",
            "remove one of the two",
        ));
    }
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<Value, D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let seed = self.child(format!("{}[{}]", self.path, list.len()));
            match items.next_element_seed(seed)? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let field = self.field(&key);
            let value = entries.next_value_seed(self.field(&key))?;
            if map.contains_key(&key) {
                field.reject_repeated(&value);
            }
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}
