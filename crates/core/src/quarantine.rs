//! Detection of requests that crash their targets, by fingerprint.

use std::collections::BTreeMap;

use crate::{
    request::Fingerprint,
    time::{Instant, Span},
};

/// Time after which a fingerprint is no longer suspected or quarantined.
const RETENTION: Span = Span::from_secs(600);
/// Maximum number of suspects. Those with the fewest crashes are evicted, and of these the oldest.
const MAX_SUSPECTS: usize = 1_024;
/// Number of crashes with a fingerprint in flight, and no answer to it, at which it is quarantined
/// whatever else was in flight.
pub const MAX_CRASHES: u32 = 3;

/// How requests with a fingerprint are treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// They run like any other request.
    Clear,
    /// They run only while nothing else runs on their target, or are refused.
    Suspect,
    /// They are refused.
    Quarantined,
}

/// Crashes at which a fingerprint was in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// Number of crashes.
    pub crashes: u32,
    /// Whether no other fingerprint was in flight at one of the crashes.
    pub was_alone: bool,
    /// Time of the last crash.
    pub last_crash: Instant,
}

/// Suspected and quarantined fingerprints.
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

    /// Records the crash of a target and returns the fingerprints to quarantine.
    ///
    /// A fingerprint is quarantined at its second crash, if it was the only one in flight at one of
    /// the two, or if it is the only one in flight at this crash that was in flight at an earlier
    /// one. If several were in flight at both, none is quarantined, since all but one may be
    /// harmless; as suspects they now run alone, which shows the one that crashes its target. The
    /// third crash quarantines all that were in flight at all three: a harmless one would have been
    /// answered in between, and a fourth target must not crash.
    pub fn record_crash(&mut self, now: Instant, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        self.record(now, in_flight, true)
    }

    /// Records further fingerprints that were in flight at a crash that is recorded already.
    pub fn record_late_crash(
        &mut self,
        now: Instant,
        in_flight: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        self.record(now, in_flight, false)
    }

    fn record(
        &mut self,
        now: Instant,
        in_flight: &[Fingerprint],
        is_complete: bool,
    ) -> Vec<Fingerprint> {
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let is_alone = is_complete && distinct.len() == 1;
        for fingerprint in &distinct {
            self.suspect(now, *fingerprint, is_alone);
        }
        self.trim();
        let repeated = |f: &&Fingerprint| self.suspects.get(*f).is_some_and(|s| s.crashes >= 2);
        let sole = distinct.iter().filter(repeated).count() == 1;
        let is_enough = |s: &Suspicion| sole || s.was_alone || s.crashes >= MAX_CRASHES;
        let confirmed =
            |f: &&Fingerprint| repeated(f) && self.suspects.get(*f).is_some_and(is_enough);
        let found: Vec<Fingerprint> = distinct.iter().filter(confirmed).copied().collect();
        for fingerprint in &found {
            self.add(now, *fingerprint);
        }
        found
    }

    /// Removes the suspicion against a fingerprint, since a request with it was answered and so does
    /// not crash its target.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Removes all suspicions.
    pub fn clear_suspects(&mut self) {
        self.suspects.clear();
    }

    /// Adopts a suspicion of another holder if it is stronger than the known one.
    pub fn merge(&mut self, fingerprint: Fingerprint, suspicion: Suspicion) {
        let own = self.suspects.entry(fingerprint).or_insert(suspicion);
        if (own.crashes, own.was_alone) < (suspicion.crashes, suspicion.was_alone) {
            *own = suspicion;
        }
        self.trim();
    }

    /// Quarantines a fingerprint.
    pub fn add(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.quarantined.entry(fingerprint).or_insert(now);
    }

    /// Releases a fingerprint at the request of an operator.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.quarantined.remove(&fingerprint);
    }

    /// Drops suspicions and quarantines that are ten minutes old. Returns the fingerprints that are
    /// no longer quarantined.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let over = |since: Instant| now.since(since) >= RETENTION;
        self.suspects
            .retain(|_, suspicion| !over(suspicion.last_crash));
        let ended = self.quarantined.iter().filter(|(_, since)| over(**since));
        let released: Vec<Fingerprint> = ended.map(|(fingerprint, _)| *fingerprint).collect();
        self.quarantined.retain(|_, since| !over(*since));
        released
    }

    /// Returns the suspected fingerprints, which holders share with each other.
    pub fn suspects(&self) -> &BTreeMap<Fingerprint, Suspicion> {
        &self.suspects
    }

    fn suspect(&mut self, now: Instant, fingerprint: Fingerprint, is_alone: bool) {
        let suspicion = self.suspects.entry(fingerprint).or_insert(Suspicion {
            crashes: 0,
            was_alone: false,
            last_crash: now,
        });
        suspicion.crashes += 1;
        suspicion.was_alone |= is_alone;
        suspicion.last_crash = now;
    }

    fn trim(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let rank = |(f, s): (&Fingerprint, &Suspicion)| (s.crashes, s.last_crash, *f);
        let mut ranked: Vec<(u32, Instant, Fingerprint)> = self.suspects.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
    }
}
