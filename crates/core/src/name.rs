//! Validated names of hosts, data centres, services and targets.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Longest name, in bytes: the limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Reason why a text is not a name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name is empty; use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'")]
    Empty,
    /// The text is too long.
    #[error("name {0:?} is too long; use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'")]
    Long(String),
    /// The text has a character that names do not allow.
    #[error("name {name:?} has the character {character:?}; use a-z, 0-9, '-' and '.'")]
    Character {
        /// The rejected text.
        name: String,
        /// The first character that is not allowed.
        character: char,
    },
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::Long(text.chars().take(MAX_NAME_BYTES).collect()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(Error::Character {
            name: text.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

name! {
    /// Name of a data centre.
    DataCentre
}
name! {
    /// Name of an entry host, on which one daemon runs.
    Host
}
name! {
    /// Name of a region: a group of data centres.
    Region
}
name! {
    /// Name of a service: a row of the table.
    Service
}
name! {
    /// Name of a target, unique in the table.
    Target
}
