//! Hashes of keys and the slices that they fall into.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{name, number::Slice};

/// 64-bit hash of a service's name and a key in it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Digest(pub u64);

impl Digest {
    /// Hashes a key of a service.
    pub fn new(service: &name::Service, key: &[u8]) -> Self {
        Self(xxh3_64_with_seed(
            key,
            xxh3_64_with_seed(service.as_str().as_bytes(), 0),
        ))
    }

    /// Returns the slice of this hash among `count` slices of equal width.
    pub fn slice(self, count: u32) -> Slice {
        Slice(((u128::from(self.0) * u128::from(count)) >> 64) as u32)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
