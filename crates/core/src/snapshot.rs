//! Snapshots of the shared state, so that the log may drop its oldest records.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ledger::Ledger,
    number::Offset,
    record::{self, Entry, Record},
    time::{Instant, Span},
};

/// Largest part of a snapshot in a record, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;

/// Incomplete snapshots that a reader keeps. Writers rarely overlap.
const MAX_INCOMPLETE: usize = 4;

/// Interval between samples of the log's end, by which expired request ids are found.
const SAMPLE_INTERVAL: Span = Span::from_secs(60);

/// Samples that are kept. They cover the longest window of a request id, which is a day.
const MAX_SAMPLES: usize = 1_500;

/// Reason why a snapshot can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes do not decode to a ledger.
    #[error("a snapshot is malformed ({0}); run daemons of compatible versions")]
    Malformed(String),
    /// The ledger in the snapshot is not the one at the stated offset.
    #[error("a snapshot of offset {stated} has the state of {found}; use a later one")]
    OffsetMismatch {
        /// Offset in the records.
        stated: Offset,
        /// Offset in the ledger.
        found: Offset,
    },
}

/// When a snapshot is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Records after which a snapshot is due.
    pub records: u64,
    /// Time after which a snapshot is due.
    pub interval: Span,
}

/// Encodes a ledger.
pub fn encode(ledger: &Ledger) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(ledger, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(bytes)
}

/// Decodes a ledger, which must be the one at an offset.
pub fn decode(at: Offset, bytes: &[u8]) -> Result<Ledger, Error> {
    let ledger: Ledger =
        ciborium::from_reader(bytes).map_err(|e| Error::Malformed(e.to_string()))?;
    match ledger.offset() {
        found if found != at => Err(Error::OffsetMismatch { stated: at, found }),
        _ => Ok(ledger),
    }
}

/// Creates the records of a snapshot.
pub fn records(ledger: &Ledger) -> Result<Vec<Record>, Error> {
    let bytes = encode(ledger)?;
    let chunks = bytes.chunks(MAX_PART_BYTES);
    let parts = chunks.len() as u32;
    let record = |(part, bytes): (usize, &[u8])| Record::Snapshot {
        at: ledger.offset(),
        part: part as u32,
        parts,
        bytes: bytes.to_vec(),
    };
    Ok(chunks.enumerate().map(record).collect())
}

/// Collects the parts of snapshots until one is complete.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    incomplete: VecDeque<Incomplete>,
}

/// Parts of one snapshot by one writer.
#[derive(Clone, Debug)]
struct Incomplete {
    at: Offset,
    actor: String,
    parts: u32,
    bytes: BTreeMap<u32, Vec<u8>>,
}

impl Assembler {
    /// Adds a record. Returns the ledger once all parts of a snapshot are present.
    pub fn add(&mut self, entry: &Entry) -> Option<Result<Ledger, Error>> {
        let Record::Snapshot {
            at,
            part,
            parts,
            bytes,
        } = &entry.record
        else {
            return None;
        };
        let same =
            |set: &Incomplete| (set.at, set.parts, &set.actor) == (*at, *parts, &entry.actor);
        let index = self.incomplete.iter().position(same).unwrap_or_else(|| {
            if self.incomplete.len() == MAX_INCOMPLETE {
                self.incomplete.pop_front();
            }
            self.incomplete.push_back(Incomplete {
                at: *at,
                actor: entry.actor.clone(),
                parts: *parts,
                bytes: BTreeMap::new(),
            });
            self.incomplete.len() - 1
        });
        let set = &mut self.incomplete[index];
        set.bytes.insert(*part, bytes.clone());
        let complete = (0..*parts).all(|part| set.bytes.contains_key(&part));
        let set = complete.then(|| self.incomplete.remove(index)).flatten()?;
        let bytes: Vec<u8> = set.bytes.into_values().flatten().collect();
        Some(decode(set.at, &bytes))
    }
}

/// State from which a node decides when to write a snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) policy: Option<Policy>,
    /// Offset of the ledger in the latest snapshot.
    latest: Offset,
    /// When this process read the latest snapshot, or when it started.
    since: Option<Instant>,
    /// True once this process read a snapshot that was written after its first replay.
    seen: bool,
    /// Last part of the snapshot that this process writes.
    pending: Option<record::Id>,
    samples: VecDeque<(Instant, Offset)>,
}

impl Schedule {
    /// Updates the schedule after a record of the log. `live` is false during the first replay.
    pub(crate) fn apply(&mut self, now: Instant, entry: &Entry, live: bool) {
        let Record::Snapshot {
            at, part, parts, ..
        } = &entry.record
        else {
            return;
        };
        if part + 1 == *parts {
            self.latest = self.latest.max(*at);
            self.since = Some(now);
            self.seen |= live;
        }
        self.pending.take_if(|id| *id == entry.id);
    }

    /// Updates the schedule after the ledger was replaced by a snapshot's.
    pub(crate) fn restore(&mut self, at: Offset) {
        self.latest = self.latest.max(at);
        self.pending = None;
        self.samples.clear();
    }

    /// Returns whether a snapshot is due. The first interval of a process is shorter, so that
    /// frequent restarts don't delay snapshots until the records have expired.
    pub(crate) fn is_due(&mut self, now: Instant, offset: Offset) -> bool {
        let since = *self.since.get_or_insert(now);
        let Some(policy) = self.policy.filter(|_| self.pending.is_none()) else {
            return false;
        };
        let interval = match self.seen {
            true => policy.interval,
            false => policy.interval.scale(1, 4),
        };
        let records = offset.0.saturating_sub(self.latest.0);
        records >= policy.records || records > 0 && now.since(since) >= interval
    }

    pub(crate) fn submit(&mut self, last: record::Id) {
        self.pending = Some(last);
    }

    /// Samples the end of the log once per [`SAMPLE_INTERVAL`].
    pub(crate) fn sample(&mut self, now: Instant, offset: Offset) {
        let last = self.samples.back();
        if last.is_none_or(|(sampled, _)| now.since(*sampled) >= SAMPLE_INTERVAL) {
            self.samples.push_back((now, offset));
            if self.samples.len() > MAX_SAMPLES {
                self.samples.pop_front();
            }
        }
    }

    /// Returns the first offset that was written less than a span ago, as far as samples show.
    pub(crate) fn before(&self, now: Instant, span: Span) -> Option<Offset> {
        let old = self.samples.iter().rev();
        let mut old = old.filter(|(sampled, _)| now.since(*sampled) >= span);
        old.next().map(|(_, offset)| offset.next())
    }
}
