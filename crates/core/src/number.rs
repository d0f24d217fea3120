//! Numeric newtypes: offsets, epochs, key hashes, slices and versions.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number! {
    /// Position of a record in the log. The first record has offset 1; 0 is the position before it.
    Offset(u64)
}
number! {
    /// Offset of the claim that created a contract; the fencing token of its holder.
    Epoch(u64)
}
number! {
    /// History of a log: it rises each time that the log is restored from an older copy. Offsets are
    /// comparable within one timeline only.
    Timeline(u64)
}
number! {
    /// Version of the table: the number of accepted table records.
    Version(u64)
}
number! {
    /// Identifier of one slice of a service's hashed key space.
    Slice(u32)
}

impl Offset {
    /// Returns whether this offset is the position before the first record.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }

    /// Returns the offset that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
