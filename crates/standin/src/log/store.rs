use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use ragwortrill_core::{
    number::{Offset, Timeline},
    record,
};
use ragwortrill_platform::log::{
    Batch, Bounds, MAX_RESPONSE_BYTES, Page, Query, ROW_OVERHEAD_BYTES, Receipt, Row,
};

use super::Faults;

/// Upper bound of the size that encoding adds to the records of a page.
const PAGE_OVERHEAD_BYTES: usize = 256;

/// The log's records, and the faults that are injected.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) faults: Faults,
    pub(crate) received_requests: u64,
    end: u64,
    rows: VecDeque<Row>,
    ids: BTreeSet<record::Id>,
    window: Option<(Instant, u32)>,
    timeline: Timeline,
    /// End and records of the copy from which the log can be restored.
    copy: (u64, VecDeque<Row>),
}

/// Result of an append.
pub(crate) struct Appended {
    pub(crate) receipt: Receipt,
    pub(crate) duplicate: bool,
}

impl Store {
    pub(crate) fn bounds(&self) -> Bounds {
        let first = self.rows.front().map_or(self.end + 1, |row| row.offset.0);
        Bounds {
            first: Offset(first),
            end: Offset(self.end),
        }
    }

    pub(crate) fn append(&mut self, batch: &Batch) -> Appended {
        let first = Offset(self.end + 1);
        let mut duplicate = false;
        for (id, bytes) in batch.iter() {
            self.end += 1;
            duplicate |= !self.ids.insert(id);
            self.rows.push_back(Row {
                offset: Offset(self.end),
                id,
                bytes: bytes.to_vec(),
            });
        }
        self.expire();
        let last = Offset(self.end);
        let offsets = (first.0..=last.0).map(Offset).collect();
        let receipt = Receipt {
            first,
            last,
            offsets,
        };
        Appended { receipt, duplicate }
    }

    /// Returns whether an append may be written, whose condition may name a timeline and the end of
    /// the log.
    pub(crate) fn allows(&self, timeline: Option<u64>, after: Option<u64>) -> bool {
        timeline.is_none_or(|timeline| timeline == self.timeline.0)
            && after.is_none_or(|after| after == self.end)
    }

    /// Keeps a copy of the records.
    pub(crate) fn save_copy(&mut self) {
        self.copy = (self.end, self.rows.clone());
    }

    /// Restores the records of the copy.
    pub(crate) fn restore(&mut self) {
        (self.end, self.rows) = self.copy.clone();
        self.timeline = Timeline(self.timeline.0 + 1);
    }

    /// Drops the oldest records above the retention limit.
    pub(crate) fn expire(&mut self) {
        let kept = self.faults.retained.unwrap_or(usize::MAX);
        let surplus = self.rows.len().saturating_sub(kept);
        self.rows.drain(..surplus);
    }

    /// Returns whether a read can be answered without waiting.
    pub(crate) fn is_ready(&self, query: Query) -> bool {
        query.from.0 <= self.end && query.max > 0
    }

    /// Reads as many records as fit into an answer. If the first offset has expired, returns the
    /// bounds as error.
    pub(crate) fn page(&self, query: Query) -> Result<Page, Bounds> {
        let bounds = self.bounds();
        let Bounds { first, end } = bounds;
        if query.from.0 > 0 && query.from < first {
            return Err(bounds);
        }
        let skipped = query.from.0.saturating_sub(first.0) as usize;
        let mut room = MAX_RESPONSE_BYTES - PAGE_OVERHEAD_BYTES;
        let rows = self.rows.iter().skip(skipped).take(query.max as usize);
        let fitting = rows.take_while(|row| {
            let size = row.bytes.len() + ROW_OVERHEAD_BYTES;
            let fits = size <= room;
            room = room.saturating_sub(size);
            fits
        });
        Ok(Page {
            first,
            end,
            records: fitting.cloned().collect(),
            timeline: self.timeline,
        })
    }

    /// Counts an append against the limit per second. Returns false if it exceeds the limit.
    pub(crate) fn allow_append(&mut self, now: Instant) -> bool {
        let Some(limit) = self.faults.appends_per_second else {
            return true;
        };
        let current = self
            .window
            .filter(|window| now.duration_since(window.0) < Duration::from_secs(1));
        let (start, used) = current.unwrap_or((now, 0));
        self.window = Some((start, used.saturating_add(1)));
        used < limit
    }
}
