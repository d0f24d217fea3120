//! Detection of requests that crash their targets.
//!
//! A request that crashes its target may be repeated through any host, so the leader merges the
//! crashes that all hosts observe. A broken connection alone is not a crash: a target has crashed
//! if it refuses connections afterwards or its next incarnation appears.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    quarantine::Quarantine,
    request::Fingerprint,
    time::{Instant, Span},
};

use crate::registration::Incarnation;

/// Maximum time from the broken connection of a request to the end of its target for the two to
/// count as a crash.
const CONFIRMATION_WINDOW: Span = Span::from_millis(4_000);
/// Time from the first report of a crash until it is evaluated, in which other hosts report theirs.
const REPORT_WINDOW: Span = Span::from_millis(800);
/// Time for which a fingerprint is quarantined.
const QUARANTINE_TIME: Span = Span::from_secs(600);

/// Crashes as observed by one host, and the quarantine that the leader decided.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    broken: BTreeMap<Incarnation, Vec<(Instant, Fingerprint)>>,
    crashes: Vec<Crash>,
    suspects: BTreeSet<Fingerprint>,
    cleared: BTreeSet<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Instant>,
}

/// Crash of a target with requests in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Target that crashed.
    pub target: Incarnation,
    /// Fingerprints of the requests that were in flight.
    pub in_flight: Vec<Fingerprint>,
}

impl Observer {
    /// Records that the connection of a request broke before its answer.
    pub fn record_broken(&mut self, now: Instant, target: &Incarnation, fingerprint: Fingerprint) {
        let broken = self.broken.entry(target.clone()).or_default();
        broken.retain(|(at, _)| now.since(*at) < CONFIRMATION_WINDOW);
        broken.push((now, fingerprint));
    }

    /// Records that a target has ended: it refuses connections, or its next incarnation is known.
    pub fn record_end(&mut self, now: Instant, target: &Incarnation) {
        let broken = self.broken.remove(target).unwrap_or_default();
        let recent = broken
            .into_iter()
            .filter(|(at, _)| now.since(*at) < CONFIRMATION_WINDOW);
        let in_flight: Vec<Fingerprint> = recent.map(|(_, fingerprint)| fingerprint).collect();
        if !in_flight.is_empty() {
            let target = target.clone();
            self.crashes.push(Crash { target, in_flight });
        }
    }

    /// Records that a request was answered, so it does not crash its target.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        if self.suspects.contains(&fingerprint) {
            self.cleared.insert(fingerprint);
        }
    }

    /// Takes the crashes and the cleared suspects that the leader has not been sent yet.
    pub fn take_reports(&mut self) -> (Vec<Crash>, BTreeSet<Fingerprint>) {
        (
            std::mem::take(&mut self.crashes),
            std::mem::take(&mut self.cleared),
        )
    }

    /// Replaces the fingerprints that the leader suspects.
    pub fn set_suspects(&mut self, suspects: BTreeSet<Fingerprint>) {
        self.suspects = suspects;
    }

    /// Quarantines a fingerprint on a record of the log.
    pub fn quarantine(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.quarantined.insert(fingerprint, now);
    }

    /// Returns the fingerprints that are quarantined.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Fingerprint> + use<> {
        let all = self.quarantined.clone().into_iter();
        let current = all.filter(move |(_, since)| now.since(*since) < QUARANTINE_TIME);
        current.map(|(fingerprint, _)| fingerprint)
    }

    /// Tells whether requests with a fingerprint are to be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let since = self.quarantined.get(&fingerprint);
        since.is_some_and(|since| now.since(*since) < QUARANTINE_TIME)
    }
}

/// Crashes as reported by all hosts, which the leader evaluates.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    quarantine: Quarantine,
    pending: BTreeMap<Incarnation, (Instant, BTreeSet<Fingerprint>)>,
    decided: BTreeSet<Incarnation>,
}

impl Aggregator {
    /// Adds a crash that a host observed.
    pub fn add(&mut self, now: Instant, crash: Crash) {
        if !self.decided.contains(&crash.target) {
            let (_, in_flight) = self
                .pending
                .entry(crash.target)
                .or_insert((now, BTreeSet::new()));
            in_flight.extend(crash.in_flight);
        }
    }

    /// Clears a fingerprint of suspicion, since a request with it was answered.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear_suspect(fingerprint);
    }

    /// Evaluates the crashes whose report window is over. Returns the fingerprints to quarantine.
    pub fn decide(&mut self, now: Instant) -> Vec<Fingerprint> {
        let complete = self
            .pending
            .iter()
            .filter(|(_, (since, _))| now.since(*since) >= REPORT_WINDOW);
        let targets: Vec<Incarnation> = complete.map(|(target, _)| target.clone()).collect();
        let mut quarantined = Vec::new();
        for target in targets {
            if let Some((_, in_flight)) = self.pending.remove(&target) {
                let in_flight: Vec<Fingerprint> = in_flight.into_iter().collect();
                quarantined.extend(self.quarantine.record_crash(now, &in_flight));
            }
            self.decided.insert(target);
        }
        self.quarantine.expire(now);
        quarantined
    }

    /// Returns the fingerprints that are suspected of crashing targets.
    pub fn suspects(&self) -> BTreeSet<Fingerprint> {
        self.quarantine.suspects().keys().copied().collect()
    }
}
