//! Recently read records, kept for peers that can't read the log.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use ragwortrill_core::{
    number::Offset,
    record::{self, Entry},
    time::{Instant, Span},
};

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 20_000;

/// Maximum number of records in one reply to a peer.
const MAX_PAGE_RECORDS: usize = 64;

/// Recently read records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    rows: VecDeque<(Offset, Entry)>,
    end: Offset,
    proof: Option<Instant>,
}

/// Records for a peer.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) rows: Vec<(Offset, Entry)>,
    pub(crate) end: Offset,
    pub(crate) age: Option<Span>,
}

impl Recent {
    pub(crate) fn push(&self, rows: &[(Offset, Entry)], sent: Instant, end: Offset) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // The log reader skips records when it restores a snapshot. Earlier records are dropped
        // then, because a page must have no gaps.
        let last = inner.rows.back().map(|(offset, _)| offset.next());
        if last.is_some_and(|next| rows.first().is_some_and(|(offset, _)| *offset != next)) {
            inner.rows.clear();
        }
        inner.rows.extend(rows.iter().cloned());
        let excess = inner.rows.len().saturating_sub(MAX_RECORDS);
        inner.rows.drain(..excess);
        inner.end = end;
        let last = inner.rows.back().map_or(Offset(0), |(offset, _)| *offset);
        if last >= end {
            inner.proof = Some(sent);
        }
    }

    /// Returns the offset and the identifier of the last record that was read.
    pub(crate) fn last(&self) -> Option<(Offset, record::Id)> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let last = inner.rows.back();
        last.map(|(offset, entry)| (*offset, entry.id))
    }

    /// Returns the entries after an offset, or none if the first of them is not kept.
    pub(crate) fn entries_after(&self, offset: Offset) -> impl Iterator<Item = Entry> + use<> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = inner.rows.iter().filter(|(other, _)| *other > offset);
        let rows: Vec<(Offset, Entry)> = rows.cloned().collect();
        let is_kept = rows
            .first()
            .is_some_and(|(first, _)| *first == offset.next());
        let entries = rows.into_iter().map(|(_, entry)| entry);
        entries.filter(move |_| is_kept)
    }

    /// Returns the records after an offset, with the age of the proof that `end` is the log's end.
    pub(crate) fn after(&self, offset: Offset, now: Instant) -> Page {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = inner.rows.iter().filter(|(o, _)| *o > offset);
        Page {
            rows: rows.take(MAX_PAGE_RECORDS).cloned().collect(),
            end: inner.end,
            age: inner.proof.map(|proof| now.since(proof)),
        }
    }
}
