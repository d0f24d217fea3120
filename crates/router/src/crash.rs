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

use crate::registration::Incarnation;

/// Time after a broken request in which the end of its target shows that it crashed.
const CONFIRMATION_WINDOW: Span = Span::from_millis(4_000);
/// Time from the first report of a crash in which those of the other hosts arrive.
const REPORT_WINDOW: Span = Span::from_millis(800);
/// Time for which a fingerprint is barred.
const QUARANTINE_TIME: Span = Span::from_secs(600);

/// What one host saw.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    broken: BTreeMap<Incarnation, Vec<(Instant, Fingerprint)>>,
    crashes: Vec<Crash>,
    suspects: BTreeSet<Fingerprint>,
    cleared: BTreeSet<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Instant>,
}

/// The end of a target, with the requests that were in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The target.
    pub target: Incarnation,
    /// Fingerprints of the requests.
    pub in_flight: Vec<Fingerprint>,
}

impl Observer {
    /// Notes that a request's connection broke before the answer.
    pub fn record_broken(&mut self, now: Instant, target: &Incarnation, fingerprint: Fingerprint) {
        let broken = self.broken.entry(target.clone()).or_default();
        broken.retain(|(at, _)| now.since(*at) < CONFIRMATION_WINDOW);
        broken.push((now, fingerprint));
    }

    /// Notes that a target has ended: it refuses connections, or its next life is known.
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

    /// Notes that a request was answered: it does not crash its target.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        if self.suspects.contains(&fingerprint) {
            self.cleared.insert(fingerprint);
        }
    }

    /// Takes what the leader is to be told.
    pub fn take_reports(&mut self) -> (Vec<Crash>, BTreeSet<Fingerprint>) {
        (
            std::mem::take(&mut self.crashes),
            std::mem::take(&mut self.cleared),
        )
    }

    /// Notes which requests the leader suspects.
    pub fn set_suspects(&mut self, suspects: BTreeSet<Fingerprint>) {
        self.suspects = suspects;
    }

    /// Bars a fingerprint, as the log says.
    pub fn quarantine(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.quarantined.insert(fingerprint, now);
    }

    /// Tells whether requests with a fingerprint are refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let since = self.quarantined.get(&fingerprint);
        since.is_some_and(|since| now.since(*since) < QUARANTINE_TIME)
    }
}

/// What the leader makes of the crashes that hosts saw.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    quarantine: Quarantine,
    pending: BTreeMap<Incarnation, (Instant, BTreeSet<Fingerprint>)>,
    decided: BTreeSet<Incarnation>,
}

impl Aggregator {
    /// Notes a crash that a host saw.
    pub fn add(&mut self, now: Instant, crash: Crash) {
        if !self.decided.contains(&crash.target) {
            let (_, in_flight) = self
                .pending
                .entry(crash.target)
                .or_insert((now, BTreeSet::new()));
            in_flight.extend(crash.in_flight);
        }
    }

    /// Notes that a request with a fingerprint was answered.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear_suspect(fingerprint);
    }

    /// Judges the crashes of which all reports are in. Returns the fingerprints to bar.
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

    /// Returns the fingerprints that may crash targets.
    pub fn suspects(&self) -> BTreeSet<Fingerprint> {
        self.quarantine.suspects().keys().copied().collect()
    }
}
