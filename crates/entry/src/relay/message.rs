//! Messages of the exchange between hosts.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::Result;
use bytes::Bytes;
use ragwortrill_core::{
    name,
    number::{Offset, Timeline},
    request::Fingerprint,
    time::Instant,
};
use ragwortrill_router::{crash::Verdicts, registration::Incarnation};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::{
    compression, follow::Topic, notice::Digests, protocol::Record, rate_limit, replica::Replica,
};

/// Number of requests by service and bucket of keys.
pub(super) type Traffic = BTreeMap<name::Service, BTreeMap<u16, u32>>;
/// Sum (in microseconds) and number of the work times of a target's requests.
pub(super) type WorkTime = (name::Target, f64, u32);

/// Report of a host to the leader, or to the relay that passes it on.
#[derive(Debug, Deserialize, Serialize)]
pub struct Report {
    /// Timeline of the store to which the offsets belong.
    #[serde(default)]
    pub(super) timeline: Timeline,
    /// Offset from which the host needs records, by topic.
    #[serde(rename = "from")]
    pub(super) offsets: BTreeMap<Topic, u64>,
    /// Topics that the host has not read and can't read from the store.
    #[serde(default)]
    pub(super) unread: BTreeSet<Topic>,
    /// Whether the host reads compressed records. Hosts of earlier releases don't.
    #[serde(default)]
    pub(super) reads_compressed: bool,
    /// Hashes of the notices that the host has from this leader; none if it needs all of them, as
    /// hosts of earlier releases do in each answer.
    #[serde(default)]
    pub(super) known: Option<Digests>,
    /// Number of requests since the last report, by service and bucket of keys.
    #[serde(rename = "heat")]
    pub(super) traffic: Traffic,
    /// Work times of requests since the last report.
    #[serde(rename = "work")]
    pub(super) work_times: Vec<WorkTime>,
    /// Crashes of targets that the host observed and no leader has acknowledged.
    pub(super) crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    /// Fingerprints of suspected requests that were answered, and no leader has acknowledged.
    pub(super) acquitted: BTreeSet<Fingerprint>,
    /// Quarantined fingerprints of which the store has no record yet.
    #[serde(default)]
    pub(super) quarantined: BTreeSet<Fingerprint>,
    /// Version of the leader's verdicts that the host has.
    #[serde(default)]
    pub(super) verdicts: u64,
    /// Rate limits that targets state to the host.
    #[serde(default)]
    pub(super) rate_limits: Vec<rate_limit::Relayed>,
    /// Targets that stated to the host that they leave.
    #[serde(default)]
    pub(super) leaving: Vec<Incarnation>,
    /// Whether the answer must not wait for news, since another relay did not answer.
    #[serde(default)]
    pub(super) is_urgent: bool,
}

/// Response to a report.
#[derive(Debug, Deserialize, Serialize)]
pub struct Update {
    /// Timeline of the store to which the offsets belong.
    #[serde(default)]
    pub(super) timeline: Timeline,
    /// Microseconds for which the leader held the report.
    #[serde(rename = "held")]
    pub(super) held_us: u64,
    pub(super) topics: BTreeMap<Topic, Changes>,
    /// Hashes of all notices of the leader. A part whose hash the host reported is left out below.
    #[serde(default)]
    pub(super) digests: Option<Digests>,
    /// Fingerprints of requests that may crash their targets.
    pub(super) suspects: BTreeSet<Fingerprint>,
    /// Suspects whose requests are refused until their crashes are evaluated.
    #[serde(default)]
    pub(super) held_suspects: BTreeSet<Fingerprint>,
    /// Fingerprints of requests that crash their targets.
    #[serde(default)]
    pub(super) quarantined: BTreeSet<Fingerprint>,
    /// Version of the leader's verdicts.
    #[serde(default)]
    pub(super) verdicts: u64,
    /// Rate limits that targets state to any host.
    #[serde(default)]
    pub(super) rate_limits: Vec<rate_limit::Relayed>,
    /// Targets that stated to any host that they leave.
    #[serde(default)]
    pub(super) leaving: Vec<Incarnation>,
    /// Whether the store does not answer the host that makes this answer.
    #[serde(default)]
    pub(super) is_outage: bool,
    /// Whether the host that makes this answer passes no reports on, since its own get no answers.
    #[serde(default)]
    pub(super) is_cut_off: bool,
}

/// New records of one topic.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
pub struct Changes {
    /// Keys, values and offsets of the records.
    #[serde_as(as = "Vec<(_, Option<serde_with::Bytes>, _)>")]
    pub(super) records: Vec<(String, Option<Vec<u8>>, u64)>,
    /// Keys, compressed values and offsets of large records.
    #[serde(default)]
    #[serde_as(as = "Vec<(_, serde_with::Bytes, _)>")]
    pub(super) compressed: Vec<(String, Vec<u8>, u64)>,
    /// Whether these are the newest records of all keys.
    #[serde(default)]
    pub(super) is_complete: bool,
    /// Offset of the next record to read.
    #[serde(rename = "next")]
    pub(super) next_offset: u64,
    /// Microseconds since the time as of which the leader's replica is known to be up to date with
    /// the store.
    #[serde(rename = "age")]
    pub(super) age_us: u64,
}

impl Changes {
    /// Returns what a host lacks that has all records before an offset, or has none if there is no
    /// offset. If records since then have expired, these are the newest records of all keys. Returns
    /// none before the replica's first complete list.
    pub fn since(
        replica: &Replica,
        from: Option<Offset>,
        now: Instant,
        compresses: bool,
    ) -> Option<Self> {
        let next = replica.next_offset()?;
        let changes = from.and_then(|from| replica.changes_since(from));
        let is_complete = changes.is_none();
        let records = match changes {
            Some(records) => records,
            None => replica.all()?,
        };
        let mut plain = Vec::new();
        let mut compressed = Vec::new();
        for record in records {
            let packed = compresses.then(|| replica.compressed(&record)).flatten();
            let offset = record.offset.0;
            match packed {
                Some(packed) => compressed.push((record.key, packed.to_vec(), offset)),
                None => plain.push((record.key, record.value.map(Vec::from), offset)),
            }
        }
        Some(Self {
            records: plain,
            compressed,
            is_complete,
            next_offset: next.0,
            age_us: now.since(replica.read_at()).0,
        })
    }

    /// Returns the records, in their order.
    pub fn into_records(self) -> Result<Vec<Record>> {
        let record = |(key, value, offset): (String, Option<Vec<u8>>, u64)| Record {
            key,
            value: value.map(Bytes::from),
            offset: Offset(offset),
        };
        let mut records: Vec<Record> = self.records.into_iter().map(record).collect();
        for (key, value, offset) in self.compressed {
            records.push(Record {
                key,
                value: Some(compression::decompress(&value)?),
                offset: Offset(offset),
            });
        }
        records.sort_by_key(|record| record.offset);
        Ok(records)
    }
}

/// What a host has of the leader's notices.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Hashes of the notices; none if the leader is of an earlier release and sends all of them in each
    /// answer.
    pub digests: Option<Digests>,
    /// Verdicts on suspected requests.
    pub verdicts: Verdicts,
    /// Version of the verdicts, by which the leader sees whether it has news for the host.
    pub version: u64,
}

impl Known {
    /// Records an update. Verdicts are left out of it if the host has them.
    pub fn learn(&mut self, update: &Update) {
        let (known, current) = (self.digests.as_ref(), update.digests.as_ref());
        let has_verdicts = known
            .zip(current)
            .is_some_and(|(known, current)| known.has_verdicts_of(current));
        if !has_verdicts {
            self.verdicts = Verdicts {
                suspects: update.suspects.clone(),
                held: update.held_suspects.clone(),
            };
        }
        self.digests = update.digests;
        self.version = update.verdicts;
    }
}
