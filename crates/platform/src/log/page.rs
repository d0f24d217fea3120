use ragwortrill_core::{
    number::{Offset, Timeline},
    record::{self, Entry},
};
use serde::{Deserialize, Serialize};

use super::{Error, codec};

/// Parameters of a read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The first offset to read. Offset 0 stands for the first retained record.
    pub from: Offset,
    /// Largest number of records in the response.
    pub max: u32,
    /// Time to wait for records if there are none yet, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Condition of an append: without it nothing is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Timeline of the log.
    pub timeline: Timeline,
    /// Offset of the log's last record; none if it does not matter.
    pub after: Option<Offset>,
}

/// An encoded entry with its offset in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Offset in the log.
    pub offset: Offset,
    /// Identifier that the writer chose for the entry.
    pub id: record::Id,
    /// The encoded entry.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Response to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The first retained offset, or `end + 1` if the log has no records.
    pub first: Offset,
    /// Offset of the last record of the log.
    pub end: Offset,
    /// Records in order of their offsets, without gaps.
    pub records: Vec<Row>,
    /// Number of times that the service was restored from an older copy.
    #[serde(default)]
    pub timeline: Timeline,
}

/// Range of offsets that the service retains.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bounds {
    /// The first retained offset, or `end + 1` if the log has no records.
    pub first: Offset,
    /// Offset of the last record of the log.
    pub end: Offset,
}

/// Response to an append.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Offset of the first entry.
    pub first: Offset,
    /// Offset of the last entry.
    pub last: Offset,
    /// Offset of each entry, in the order of the batch.
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
            /// Encodes the value as the body of a response.
            pub fn to_cbor(&self) -> Vec<u8> {
                codec::to_cbor(self)
            }

            /// Decodes the body of a response.
            pub fn from_cbor(bytes: &[u8]) -> Result<Self, Error> {
                codec::from_cbor(bytes)
            }
        })*
    };
}

cbor!(Bounds, Page, Receipt);

impl Page {
    /// Checks that the offsets are consecutive, begin at `from` and do not exceed the end of the
    /// log.
    pub(crate) fn check(&self, from: Offset) -> Result<(), Error> {
        let mut expected = if from.0 == 0 { self.first } else { from };
        for row in &self.records {
            if row.offset != expected || row.offset > self.end {
                let found = row.offset;
                let reason = format!(
                    "offset {found} instead of {expected}, the log ends at {}",
                    self.end
                );
                return Err(Error::Malformed(reason));
            }
            expected = expected.next();
        }
        Ok(())
    }
}

impl Receipt {
    /// Checks that the receipt has `count` consecutive offsets that match its first and last one.
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
