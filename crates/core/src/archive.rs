//! The latest records that concern operators, with their effects, and the table's versions.
//!
//! The archive is part of the ledger, so every daemon has the same one, it decides repeated
//! changes the same way everywhere, and a snapshot preserves it beyond the log's retention.

mod text;

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ledger::Effect,
    name,
    number::{Offset, Version},
    record::{self, Entry, Record},
    report::{Audit, Revision, TableVersion},
    table::Table,
};

/// Records that are kept.
const MAX_ROWS: usize = 4_096;

/// Operators' changes whose first effect is kept, so that a repeated change is not applied again.
const MAX_DECISIONS: usize = 4_096;

/// Versions of the table that are kept.
const MAX_EDITIONS: usize = 100;

/// Targets in all kept versions together. With tables of 16,000 targets, one earlier version is
/// kept.
const MAX_EDITION_TARGETS: usize = 40_000;

/// The latest records that concern operators, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Archive {
    rows: VecDeque<Row>,
    #[serde(rename = "answers")]
    decisions: VecDeque<Decision>,
    editions: VecDeque<(Revision, Table)>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Row {
    audit: Audit,
    /// Services that the record concerns, or `None` if it concerns all.
    services: Option<BTreeSet<name::Service>>,
}

/// Effect of an operator's change when it was first applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Identifier of the entry.
    pub id: record::Id,
    /// Offset of the record.
    pub offset: Offset,
    /// Effect of the record.
    pub effect: Effect,
    /// Version of the table after the record.
    pub version: Version,
}

/// Selection of records to list.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only records after this offset. `None` lists the latest ones.
    pub since: Option<Offset>,
    /// Only records that concern this service.
    pub service: Option<name::Service>,
    /// Largest number of records.
    pub limit: usize,
}

impl Record {
    /// Returns whether operators submit records of this kind.
    pub fn is_operators(&self) -> bool {
        matches!(
            self,
            Self::DataCentre { .. }
                | Self::Host { .. }
                | Self::Lost { .. }
                | Self::Quarantine { .. }
                | Self::Table { .. }
                | Self::Target { .. }
        )
    }

    fn is_bookkeeping(&self) -> bool {
        matches!(
            self,
            Self::Forget { .. }
                | Self::Intent { .. }
                | Self::Outcome { .. }
                | Self::Snapshot { .. }
        )
    }
}

impl Archive {
    /// Adds a record. `table` and `version` are those after it.
    pub(crate) fn add(
        &mut self,
        offset: Offset,
        entry: &Entry,
        effect: Effect,
        version: Version,
        table: &Table,
    ) {
        if entry.record.is_bookkeeping() {
            return;
        }
        let row = Row {
            audit: audit(offset, entry, effect),
            services: text::services(&entry.record, self.latest(), table),
        };
        push(&mut self.rows, row, MAX_ROWS);
        if entry.record.is_operators() && self.decision(entry.id).is_none() {
            let decision = Decision {
                id: entry.id,
                offset,
                effect,
                version,
            };
            push(&mut self.decisions, decision, MAX_DECISIONS);
        }
        if effect == Effect::Applied && matches!(entry.record, Record::Table { .. }) {
            self.add_edition(revision(offset, entry, version), table.clone());
        }
    }

    fn add_edition(&mut self, revision: Revision, table: Table) {
        push(&mut self.editions, (revision, table), MAX_EDITIONS);
        let sizes = self.editions.iter().map(|(_, table)| size(table));
        let mut total: usize = sizes.sum();
        while total > MAX_EDITION_TARGETS
            && self.editions.len() > 1
            && let Some((_, table)) = self.editions.pop_front()
        {
            total -= size(&table);
        }
    }

    fn latest(&self) -> Option<&Table> {
        self.editions.back().map(|(_, table)| table)
    }

    /// Returns the effect of a change when it was first applied.
    pub fn decision(&self, id: record::Id) -> Option<Decision> {
        self.decisions
            .iter()
            .find(|decision| decision.id == id)
            .copied()
    }

    /// Returns a kept version of the table.
    pub fn table(&self, version: Version) -> Option<TableVersion> {
        let mut editions = self.editions.iter();
        let (revision, table) = editions.find(|(r, _)| r.version == version)?;
        Some(TableVersion {
            version: revision.version,
            table: table.clone(),
        })
    }

    /// Lists the kept versions of the table, oldest first.
    pub fn revisions(&self) -> Vec<Revision> {
        self.editions.iter().map(|(r, _)| r.clone()).collect()
    }

    /// Lists records in the order of their offsets.
    pub fn audit(&self, filter: &Filter) -> Vec<Audit> {
        let since = filter.since.unwrap_or_default();
        let concerns = |row: &&Row| match (&filter.service, &row.services) {
            (Some(wanted), Some(services)) => services.contains(wanted),
            _ => true,
        };
        let rows = self.rows.iter().filter(|row| row.audit.offset > since);
        let rows: Vec<&Row> = rows.filter(concerns).collect();
        let skipped = match filter.since {
            Some(_) => 0,
            None => rows.len().saturating_sub(filter.limit),
        };
        let rows = rows.into_iter().skip(skipped).take(filter.limit);
        rows.map(|row| row.audit.clone()).collect()
    }
}

fn audit(offset: Offset, entry: &Entry, effect: Effect) -> Audit {
    Audit {
        offset,
        id: entry.id,
        actor: entry.actor.clone(),
        reason: entry.reason.clone(),
        written_ms: entry.written_ms,
        effect,
        text: text::line(&entry.record),
    }
}

fn revision(offset: Offset, entry: &Entry, version: Version) -> Revision {
    Revision {
        version,
        offset,
        actor: entry.actor.clone(),
        reason: entry.reason.clone(),
        written_ms: entry.written_ms,
    }
}

/// Counts a table's targets.
fn size(table: &Table) -> usize {
    table.services.values().map(|row| row.targets.len()).sum()
}

fn push<T>(list: &mut VecDeque<T>, item: T, limit: usize) {
    list.push_back(item);
    if list.len() > limit {
        list.pop_front();
    }
}
