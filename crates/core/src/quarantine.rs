//! Fingerprints of requests that crash their targets.

use std::collections::BTreeMap;

use crate::{
    request::Fingerprint,
    time::{Instant, Span},
};

/// Time after which a fingerprint is no longer suspect or barred.
const RETENTION: Span = Span::from_secs(600);
/// Most suspects that are remembered; the oldest make room.
const MAX_SUSPECTS: usize = 1_024;
/// Guilt of a fingerprint that was alone on a target that crashed. Among `n` it is `1/n` of this.
const SOLE_SCORE: u32 = 1_000;

/// How requests with a fingerprint are treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// They run as usual.
    Clear,
    /// They run alone on their target, or are refused.
    Suspect,
    /// They are refused.
    Quarantined,
}

/// What speaks against a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// Crashes that it was in flight at.
    pub crashes: u32,
    /// Sum of `1000 / n` over crashes with `n` requests in flight.
    pub score: u32,
    /// When it was last in flight at a crash.
    pub since: Instant,
}

/// Suspect and barred fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspicion>,
    quarantined: BTreeMap<Fingerprint, Instant>,
}

impl Quarantine {
    /// Returns how a request with this fingerprint is treated.
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        if self.quarantined.contains_key(&fingerprint) {
            Status::Quarantined
        } else if self.suspects.contains_key(&fingerprint) {
            Status::Suspect
        } else {
            Status::Clear
        }
    }

    /// Notes the crash of a target and returns the fingerprints to bar.
    ///
    /// A second crash bars a fingerprint that was alone in one of the two. Of several that were
    /// in flight at both, none is barred: all but one are innocent, and running alone tells.
    pub fn record_crash(&mut self, now: Instant, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let score = SOLE_SCORE / (distinct.len() as u32).max(1);
        for fingerprint in &distinct {
            self.suspect(now, *fingerprint, score);
        }
        let repeated = |f: &&Fingerprint| self.suspects.get(*f).is_some_and(|s| s.crashes >= 2);
        let sole = distinct.iter().filter(repeated).count() == 1;
        let confirmed = |f: &&Fingerprint| {
            repeated(f) && (sole || self.suspects.get(*f).is_some_and(|s| s.score >= SOLE_SCORE))
        };
        let found: Vec<Fingerprint> = distinct.iter().filter(confirmed).copied().collect();
        for fingerprint in &found {
            self.add(now, *fingerprint);
        }
        found
    }

    /// Notes that a request with this fingerprint was answered: it does not crash its target.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Notes a suspicion that another holder found, if it weighs more than the own.
    pub fn merge(&mut self, fingerprint: Fingerprint, suspicion: Suspicion) {
        let own = self.suspects.entry(fingerprint).or_insert(suspicion);
        if (own.crashes, own.score) < (suspicion.crashes, suspicion.score) {
            *own = suspicion;
        }
        self.trim();
    }

    /// Bars a fingerprint.
    pub fn add(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.quarantined.entry(fingerprint).or_insert(now);
    }

    /// Releases a fingerprint, as an operator asks.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.quarantined.remove(&fingerprint);
    }

    /// Forgets suspicions and bars after ten minutes. Returns the fingerprints no longer barred.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let over = |since: Instant| now.since(since) >= RETENTION;
        self.suspects.retain(|_, suspicion| !over(suspicion.since));
        let ended = self.quarantined.iter().filter(|(_, since)| over(**since));
        let released: Vec<Fingerprint> = ended.map(|(fingerprint, _)| *fingerprint).collect();
        self.quarantined.retain(|_, since| !over(*since));
        released
    }

    /// Returns the suspects, to be shared with the other holders.
    pub fn suspects(&self) -> &BTreeMap<Fingerprint, Suspicion> {
        &self.suspects
    }

    fn suspect(&mut self, now: Instant, fingerprint: Fingerprint, score: u32) {
        let suspicion = self.suspects.entry(fingerprint).or_insert(Suspicion {
            crashes: 0,
            score: 0,
            since: now,
        });
        suspicion.crashes += 1;
        suspicion.score += score;
        suspicion.since = now;
        self.trim();
    }

    fn trim(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.since);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
