//! In-memory copy of the newest records of a topic, from which changes are relayed to other hosts.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use bytes::Bytes;
use ragwortrill_core::{number::Offset, time::Instant};

use crate::{compression, protocol::Record};

/// Largest number of tombstones that are kept, so that removed keys are relayed to other hosts.
const MAX_TOMBSTONES: usize = 2_000;

/// Newest records of a topic by key. A record without a value is the tombstone of a removed key.
#[derive(Debug, Default)]
pub struct Replica {
    records: BTreeMap<String, (Offset, Option<Bytes>)>,
    /// Keys of the records by offset, so that the cost of an update grows with what is new in it.
    keys: BTreeMap<Offset, String>,
    /// Compressed values of large records by offset, which are sent to many hosts.
    compressed: RefCell<BTreeMap<Offset, Option<Bytes>>>,
    /// Offsets of the tombstones.
    tombstones: BTreeSet<Offset>,
    /// Offset of the next record to read; none before the first complete list.
    next: Option<Offset>,
    /// Offset before which changes may be missing from `records`.
    complete_from: Offset,
    /// Time as of which the replica is known to be up to date with the store.
    read_at: Instant,
}

impl Replica {
    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> Option<Offset> {
        self.next
    }

    /// Returns the time as of which the replica is known to be up to date with the store.
    pub fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Stores a record. Returns false if a newer one of its key is stored already.
    pub fn store(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.key).map(|(offset, _)| *offset);
        if known.is_some_and(|offset| offset > record.offset) {
            return false;
        }
        if let Some(known) = known {
            self.remove(known);
        }
        if record.value.is_none() {
            self.tombstones.insert(record.offset);
        }
        self.keys.insert(record.offset, record.key.clone());
        let value = (record.offset, record.value.clone());
        self.records.insert(record.key.clone(), value);
        self.evict_oldest_tombstone();
        true
    }

    /// Records that all records before `next` have been read, as the store held them at `read_at`.
    pub fn advance(&mut self, next: Offset, read_at: Instant) {
        if self.next.is_none() {
            self.complete_from = next;
        }
        self.next = self.next.max(Some(next));
        self.read_at = self.read_at.max(read_at);
    }

    /// Makes the next read a complete list, since records expired before they were read.
    pub fn reset(&mut self) {
        self.next = None;
    }

    /// Removes the records that a complete list of the records before `end` lacks: their keys were
    /// removed by records that expired before they were read.
    pub fn retain(&mut self, listed: &BTreeSet<&str>, end: Offset) {
        let is_absent = |(_, key): &(&Offset, &String)| !listed.contains(key.as_str());
        let known = self.keys.range(..end).filter(is_absent);
        let absent: Vec<Offset> = known.map(|(offset, _)| *offset).collect();
        for offset in absent {
            self.remove(offset);
        }
        self.complete_from = self.complete_from.max(end);
    }

    /// Forgets all records, since the store was restored from a copy and gives offsets out again.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns all records, in their order, or none before the first complete list.
    pub(crate) fn all(&self) -> Option<Vec<Record>> {
        self.next?;
        Some(self.since(Offset(0)))
    }

    /// Returns the records from an offset on, in their order, or none if some may be missing.
    pub(crate) fn changes_since(&self, from: Offset) -> Option<Vec<Record>> {
        if from < self.complete_from || self.next.is_none() {
            return None;
        }
        Some(self.since(from))
    }

    /// Returns the compressed value of a record of this replica, if it is large and compression
    /// makes it much smaller. The value is compressed once.
    pub fn compressed(&self, record: &Record) -> Option<Bytes> {
        let value = record.value.as_ref()?;
        if value.len() < compression::MIN_BYTES {
            return None;
        }
        let mut compressed = self.compressed.borrow_mut();
        let entry = compressed.entry(record.offset);
        entry
            .or_insert_with(|| compression::compress(value))
            .clone()
    }

    fn since(&self, from: Offset) -> Vec<Record> {
        let record = |(offset, key): (&Offset, &String)| {
            let (_, value) = self.records.get(key)?;
            Some(Record {
                key: key.clone(),
                value: value.clone(),
                offset: *offset,
            })
        };
        self.keys.range(from..).filter_map(record).collect()
    }

    fn evict_oldest_tombstone(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let Some(offset) = self.tombstones.first().copied() else {
            return;
        };
        self.remove(offset);
        self.complete_from = self.complete_from.max(offset.next());
    }

    fn remove(&mut self, offset: Offset) {
        if let Some(key) = self.keys.remove(&offset) {
            self.records.remove(&key);
        }
        self.compressed.get_mut().remove(&offset);
        self.tombstones.remove(&offset);
    }
}
