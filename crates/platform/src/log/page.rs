use ragwortrill_core::{
    number::Offset,
    record::{self, Entry},
};
use serde::{Deserialize, Serialize};

use super::{Error, codec};

/// What to read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The first offset. Offset 0 stands for the first retained record.
    pub from: Offset,
    /// Largest number of records.
    pub max: u32,
    /// Time to wait for records if there are none, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// A record with its place in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Place in the log.
    pub offset: Offset,
    /// Identifier of the entry.
    pub id: record::Id,
    /// The encoded entry.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The first retained offset. One past the end if there is no record.
    pub first: Offset,
    /// Offset of the last record.
    pub end: Offset,
    /// Records in the order of their offsets, without gaps.
    pub records: Vec<Row>,
}

/// Offsets that the service retains.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bounds {
    /// The first retained offset. One past the end if there is no record.
    pub first: Offset,
    /// Offset of the last record.
    pub end: Offset,
}

/// Answer to an append.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Offset of the first entry.
    pub first: Offset,
    /// Offset of the last entry.
    pub last: Offset,
    /// Offset of each entry.
    pub offsets: Vec<Offset>,
}

impl Row {
    /// Decodes the entry.
    pub fn entry(&self) -> Result<Entry, Error> {
        codec::decode(&self.bytes)
    }
}

macro_rules! cbor {
    ($($name:ident),*) => {
        $(impl $name {
            /// Encodes the value as the body of an answer.
            pub fn to_cbor(&self) -> Vec<u8> {
                codec::to_cbor(self)
            }

            /// Decodes the body of an answer.
            pub fn from_cbor(bytes: &[u8]) -> Result<Self, Error> {
                codec::from_cbor(bytes)
            }
        })*
    };
}

cbor!(Bounds, Page, Receipt);

impl Page {
    /// Checks that the records follow each other from an offset and end within the log.
    pub(crate) fn check(&self, from: Offset) -> Result<(), Error> {
        let mut expected = if from.0 == 0 { self.first } else { from };
        for row in &self.records {
            if row.offset != expected || row.offset > self.end {
                let found = row.offset;
                let reason = format!("offset {found} in place of {expected}, end {}", self.end);
                return Err(Error::Malformed(reason));
            }
            expected = expected.next();
        }
        Ok(())
    }
}

impl Receipt {
    /// Checks that the receipt covers a batch of `count` entries.
    pub(crate) fn check(&self, count: usize) -> Result<(), Error> {
        let consecutive = self
            .offsets
            .windows(2)
            .all(|pair| pair[0].next() == pair[1]);
        let ends = (self.offsets.first(), self.offsets.last());
        if consecutive
            && self.offsets.len() == count
            && ends == (Some(&self.first), Some(&self.last))
        {
            return Ok(());
        }
        Err(Error::Malformed(format!(
            "a receipt for {count} entries has {} offsets from {} to {}",
            self.offsets.len(),
            self.first,
            self.last
        )))
    }
}
