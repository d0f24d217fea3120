use ragwortrill_core::record::{self, Entry};
use serde::{Deserialize, Serialize};

use super::{Error, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, codec};

/// Entries that are appended together and in order: all of them or none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    items: Vec<Item>,
    bytes: usize,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Item {
    id: record::Id,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry. If the batch would exceed its limits, it is left unchanged.
    pub fn push(&mut self, entry: &Entry) -> Result<(), Error> {
        self.push_bytes(entry.id, codec::encode(entry))
    }

    /// Adds an entry that is already encoded, with the limits of [`Batch::push`].
    pub fn push_bytes(&mut self, id: record::Id, bytes: Vec<u8>) -> Result<(), Error> {
        check_limit(
            "the batch",
            "bytes",
            self.bytes + bytes.len(),
            MAX_BATCH_BYTES,
        )?;
        let entries = self.items.len() + 1;
        check_limit("the batch", "entries", entries, MAX_BATCH_ENTRIES)?;
        self.bytes += bytes.len();
        self.items.push(Item { id, bytes });
        Ok(())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the batch has no entries.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the identifier and the encoded form of each entry.
    pub fn iter(&self) -> impl Iterator<Item = (record::Id, &[u8])> {
        self.items.iter().map(|item| (item.id, &item.bytes[..]))
    }

    /// Encodes the batch as the body of an append.
    pub fn to_cbor(&self) -> Vec<u8> {
        codec::to_cbor(&self.items)
    }

    /// Decodes the body of an append. A batch that is empty or exceeds its limits is an error.
    pub fn from_cbor(bytes: &[u8]) -> Result<Self, Error> {
        let items: Vec<Item> = codec::from_cbor(bytes)?;
        if items.is_empty() {
            return Err(Error::Malformed("the batch has no entry".to_owned()));
        }
        let mut batch = Self::new();
        for item in items {
            batch.push_bytes(item.id, item.bytes)?;
        }
        Ok(batch)
    }
}

fn check_limit(what: &'static str, unit: &str, size: usize, limit: usize) -> Result<(), Error> {
    if size <= limit {
        return Ok(());
    }
    Err(Error::TooLarge {
        what,
        size: format!("{size} {unit}"),
        limit,
    })
}
