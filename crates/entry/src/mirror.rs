//! The newest records of a topic, from which another host can be told what changed.

use std::collections::BTreeMap;

use bytes::Bytes;
use ragwortrill_core::{number::Offset, time::Instant};

use crate::protocol::Record;

/// Dropped keys that are remembered, so that other hosts learn of them.
const MOST_DROPPED: usize = 2_000;

/// Newest records of a topic by key.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    records: BTreeMap<String, (Offset, Option<Bytes>)>,
    /// Offset from which to read on; none before the first listing.
    next: Option<Offset>,
    /// Changes before this offset are not all known.
    complete_from: Offset,
    /// When the store last told what is newest.
    read_at: Instant,
}

impl Mirror {
    /// Returns the offset from which to read on.
    pub(crate) fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Returns when the store last told what is newest.
    pub(crate) fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Notes a record that matters. Returns whether it is newer than the one known.
    pub(crate) fn note(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.key);
        if known.is_some_and(|(offset, _)| *offset > record.offset) {
            return false;
        }
        let value = (record.offset, record.value.clone());
        self.records.insert(record.key.clone(), value);
        self.trim();
        true
    }

    /// Notes that everything before `next` is known.
    pub(crate) fn advance(&mut self, next: Offset, read_at: Instant) {
        if self.next.is_none() {
            self.complete_from = next;
        }
        self.next = self.next.max(Some(next));
        self.read_at = self.read_at.max(read_at);
    }

    /// Notes that records have expired before they were read.
    pub(crate) fn forget(&mut self) {
        self.next = None;
    }

    /// Returns the records from an offset on in their order, or none if some are not known.
    pub(crate) fn since(&self, from: Offset) -> Option<Vec<Record>> {
        if from < self.complete_from || self.next.is_none() {
            return None;
        }
        let later = self
            .records
            .iter()
            .filter(|(_, (offset, _))| *offset >= from);
        let record = |(key, (offset, value)): (&String, &(Offset, Option<Bytes>))| Record {
            key: key.clone(),
            value: value.clone(),
            offset: *offset,
        };
        let mut records: Vec<Record> = later.map(record).collect();
        records.sort_by_key(|record| record.offset);
        Some(records)
    }

    fn trim(&mut self) {
        let dropped = self
            .records
            .iter()
            .filter(|(_, (_, value))| value.is_none());
        if dropped.clone().count() <= MOST_DROPPED {
            return;
        }
        let oldest = dropped.min_by_key(|(_, (offset, _))| *offset);
        if let Some((key, (offset, _))) = oldest.map(|(key, value)| (key.clone(), value.clone())) {
            self.records.remove(&key);
            self.complete_from = self.complete_from.max(offset.next());
        }
    }
}
