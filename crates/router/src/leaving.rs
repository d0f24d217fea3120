//! Targets that have stated in an answer that they leave.
//!
//! The statement holds for one incarnation and is never withdrawn, so it outlasts the target's entry
//! for a time: an entry that comes back after an outage of the store is not one of a new start.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use crate::registration::Incarnation;

/// Time for which a target without an entry is remembered as leaving.
const UNLISTED_TTL: Span = Span::from_secs(120);

/// Where a host knows from that a target leaves.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The host that this one reports to.
    Relay,
    /// A host that reports to this one.
    Report,
    /// An answer of the target.
    Answer,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    source: Source,
    recorded_at: Instant,
}

/// Incarnations of targets that leave.
#[derive(Clone, Debug, Default)]
pub struct Leaving(BTreeMap<Incarnation, Statement>);

impl Leaving {
    /// Returns whether an incarnation leaves.
    pub fn contains(&self, target: &Incarnation) -> bool {
        self.0.contains_key(target)
    }

    /// Returns where it is known from that an incarnation leaves, if it does.
    pub fn source(&self, target: &Incarnation) -> Option<Source> {
        self.0.get(target).map(|statement| statement.source)
    }

    /// Returns all incarnations that leave, and where that is known from.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, Source)> {
        self.0
            .iter()
            .map(|(target, stated)| (target, stated.source))
    }

    /// Records that an incarnation leaves. Returns whether that is new.
    pub fn record(&mut self, now: Instant, target: &Incarnation, source: Source) -> bool {
        let is_new = !self.contains(target);
        let statement = self.0.entry(target.clone()).or_insert(Statement {
            source,
            recorded_at: now,
        });
        statement.source = statement.source.max(source);
        is_new
    }

    /// Forgets incarnations that are not listed any more, after a time.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(&Incarnation) -> bool) {
        self.0.retain(|target, statement| {
            is_listed(target) || now.since(statement.recorded_at) < UNLISTED_TTL
        });
    }
}
