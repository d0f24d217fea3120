//! Requests that were in flight when a target crashed.
//!
//! A request that crashes its targets comes again at any host, so what each host saw is merged by
//! the leader. A broken connection alone is no crash: only a target that refuses connections
//! afterwards, or whose next life appears, has crashed.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    quarantine::Quarantine,
    request::Fingerprint,
    time::{Instant, Span},
};

use crate::registration::Life;

/// Time after a broken request in which the end of its target shows that it crashed.
const CONFIRMATION: Span = Span::from_millis(4_000);
/// Time from the first report of a crash in which those of the other hosts arrive.
const GATHERING: Span = Span::from_millis(800);
/// Time for which a fingerprint is barred.
const BARRED: Span = Span::from_secs(600);

/// What one host saw.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    broken: BTreeMap<Life, Vec<(Instant, Fingerprint)>>,
    crashes: Vec<Crash>,
    suspects: BTreeSet<Fingerprint>,
    acquitted: BTreeSet<Fingerprint>,
    barred: BTreeMap<Fingerprint, Instant>,
}

/// The end of a target, with the requests that were in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The target.
    pub life: Life,
    /// Fingerprints of the requests.
    pub in_flight: Vec<Fingerprint>,
}

impl Observer {
    /// Notes that a request's connection broke before the answer.
    pub fn broke(&mut self, now: Instant, life: &Life, fingerprint: Fingerprint) {
        let broken = self.broken.entry(life.clone()).or_default();
        broken.retain(|(at, _)| now.since(*at) < CONFIRMATION);
        broken.push((now, fingerprint));
    }

    /// Notes that a target has ended: it refuses connections, or its next life is known.
    pub fn ended(&mut self, now: Instant, life: &Life) {
        let broken = self.broken.remove(life).unwrap_or_default();
        let recent = broken
            .into_iter()
            .filter(|(at, _)| now.since(*at) < CONFIRMATION);
        let in_flight: Vec<Fingerprint> = recent.map(|(_, fingerprint)| fingerprint).collect();
        if !in_flight.is_empty() {
            let life = life.clone();
            self.crashes.push(Crash { life, in_flight });
        }
    }

    /// Notes that a request was answered: it does not crash its target.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        if self.suspects.contains(&fingerprint) {
            self.acquitted.insert(fingerprint);
        }
    }

    /// Takes what the leader is to be told.
    pub fn take(&mut self) -> (Vec<Crash>, BTreeSet<Fingerprint>) {
        (
            std::mem::take(&mut self.crashes),
            std::mem::take(&mut self.acquitted),
        )
    }

    /// Notes which requests the leader suspects.
    pub fn suspect(&mut self, suspects: BTreeSet<Fingerprint>) {
        self.suspects = suspects;
    }

    /// Bars a fingerprint, as the log says.
    pub fn bar(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.barred.insert(fingerprint, now);
    }

    /// Tells whether requests with a fingerprint are refused.
    pub fn is_barred(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let since = self.barred.get(&fingerprint);
        since.is_some_and(|since| now.since(*since) < BARRED)
    }
}

/// What the leader makes of the crashes that hosts saw.
#[derive(Clone, Debug, Default)]
pub struct Merger {
    quarantine: Quarantine,
    open: BTreeMap<Life, (Instant, BTreeSet<Fingerprint>)>,
    closed: BTreeSet<Life>,
}

impl Merger {
    /// Notes a crash that a host saw.
    pub fn report(&mut self, now: Instant, crash: Crash) {
        if !self.closed.contains(&crash.life) {
            let (_, in_flight) = self
                .open
                .entry(crash.life)
                .or_insert((now, BTreeSet::new()));
            in_flight.extend(crash.in_flight);
        }
    }

    /// Notes that a request with a fingerprint was answered.
    pub fn acquit(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear_suspect(fingerprint);
    }

    /// Judges the crashes of which all reports are in. Returns the fingerprints to bar.
    pub fn decide(&mut self, now: Instant) -> Vec<Fingerprint> {
        let complete = self
            .open
            .iter()
            .filter(|(_, (since, _))| now.since(*since) >= GATHERING);
        let lives: Vec<Life> = complete.map(|(life, _)| life.clone()).collect();
        let mut barred = Vec::new();
        for life in lives {
            if let Some((_, in_flight)) = self.open.remove(&life) {
                let in_flight: Vec<Fingerprint> = in_flight.into_iter().collect();
                barred.extend(self.quarantine.record_crash(now, &in_flight));
            }
            self.closed.insert(life);
        }
        self.quarantine.expire(now);
        barred
    }

    /// Returns the fingerprints that may crash targets.
    pub fn suspects(&self) -> BTreeSet<Fingerprint> {
        self.quarantine.suspects().keys().copied().collect()
    }
}
