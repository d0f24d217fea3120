//! Detection of requests that crash their targets.
//!
//! A request that crashes its target may be repeated through any host, so the leader merges the
//! crashes that all hosts observe. A request without an answer is no crash by itself: a target has
//! crashed if it also ends. It ends if it refuses connections, if its next incarnation appears, or
//! if its entry goes although it did not drain.

mod aggregator;
mod ends;
mod trial;

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};

use self::ends::Ends;
pub use self::{
    aggregator::{
        Aggregator, EVALUATION_INTERVAL, Evaluated, MAX_EVALUATION_STEPS, MAX_PENDING, MAX_SUSPECTS,
    },
    ends::MAX_ENDS,
    trial::Permission,
};
use crate::registration::Incarnation;

/// Maximum time from a request that got no answer to the end of its target for the two to count as a
/// crash. The entry of a target that falls silent lapses after some seconds.
const MAX_END_DELAY: Span = Span::from_secs(15);
/// Time from the first unanswered request to a target within which the request was sent that may
/// have ended it.
const CAUSE_WINDOW: Span = Span::from_millis(1_000);
/// Time from the first report of a crash until it is evaluated, in which other hosts report theirs.
const REPORT_WINDOW: Span = Span::from_millis(800);
/// Time for which a fingerprint is quarantined, and for which a crash is remembered.
const QUARANTINE_TIME: Span = Span::from_secs(600);
/// Time in which the leader evaluates a crash and its suspects reach all hosts.
const VERDICT_TIME: Span = Span::from_secs(5);
/// Largest number of crashes that a host remembers for the next leader.
const MAX_REMEMBERED: usize = 256;
/// Maximum number of fingerprints that are kept of the requests in flight at one crash.
const MAX_IN_FLIGHT: usize = 256;
/// Crashes with a fingerprint in flight from which its requests wait for the leader's verdict.
const HELD_CRASHES: u32 = 2;
/// Time within which targets that end count as lost together.
const MASS_LOSS_WINDOW: Span = Span::from_millis(2_000);
/// Number of targets that are lost together from which a request is suspected only if it alone was in
/// flight at all of them: a failure of a data centre or a network ends many at once.
const MASS_LOSS_TARGETS: usize = 4;

/// Crashes as observed by one host, and what the leader decided about them.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    silences: BTreeMap<Incarnation, Silence>,
    /// Crashes and answers that no leader has acknowledged.
    report: Report,
    /// What other hosts reported to this one, which relays it, and no leader has acknowledged.
    relayed: Report,
    /// Acknowledged crashes, which the next leader needs.
    acknowledged: Vec<(Instant, Crash)>,
    verdicts: Verdicts,
    /// When this host learnt of each suspect.
    suspected_since: BTreeMap<Fingerprint, Instant>,
    quarantined: BTreeMap<Fingerprint, Entry>,
    ends: Ends,
    /// Whether the last end belongs to a loss of many targets.
    is_mass_loss: bool,
}

/// Requests to a target since its last sign of life.
#[derive(Clone, Debug)]
struct Silence {
    /// When the first of them was sent.
    since: Instant,
    unanswered: Vec<Unanswered>,
}

/// A request that was sent and got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Unanswered {
    sent_at: Instant,
    fingerprint: Fingerprint,
}

impl Silence {
    /// Adds a request, unless it is there already or there are too many.
    fn add(&mut self, fingerprint: Fingerprint, sent_at: Instant) {
        let request = Unanswered {
            sent_at,
            fingerprint,
        };
        if self.unanswered.len() < MAX_IN_FLIGHT && !self.unanswered.contains(&request) {
            self.unanswered.push(request);
        }
    }
}

/// A quarantined fingerprint.
#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Instant,
    /// Whether the log has a record of it.
    is_written: bool,
}

/// What a host reports to the leader.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Crashes that the host observed.
    pub crashes: Vec<Crash>,
    /// Suspects of which a request was answered.
    pub answered: BTreeSet<Fingerprint>,
}

impl Report {
    /// Adds another report. Of too many crashes, further ones are left out.
    fn merge(&mut self, other: &Self) {
        for crash in &other.crashes {
            if self.crashes.len() < MAX_REMEMBERED && !self.crashes.contains(crash) {
                self.crashes.push(crash.clone());
            }
        }
        self.answered.extend(&other.answered);
    }

    fn remove(&mut self, other: &Self) {
        self.crashes.retain(|crash| !other.crashes.contains(crash));
        let answered = &mut self.answered;
        answered.retain(|fingerprint| !other.answered.contains(fingerprint));
    }
}

/// What the leader knows of suspected requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdicts {
    /// Fingerprints that were in flight at a crash, and got no answer since.
    pub suspects: BTreeSet<Fingerprint>,
    /// Suspects with several crashes that are still being evaluated: their requests are refused
    /// until then.
    pub held: BTreeSet<Fingerprint>,
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
    /// Records that a request that was sent at `sent_at` got no answer from its target. Those sent
    /// long after the first one of the silence went to a target that had ended before.
    pub fn record_unanswered(
        &mut self,
        target: &Incarnation,
        fingerprint: Fingerprint,
        sent_at: Instant,
    ) {
        let silence = self.silences.entry(target.clone()).or_insert(Silence {
            since: sent_at,
            unanswered: Vec::new(),
        });
        silence.since = silence.since.min(sent_at);
        if sent_at.since(silence.since) >= MAX_END_DELAY {
            silence.since = sent_at;
            silence.unanswered.clear();
        }
        if sent_at.since(silence.since) < CAUSE_WINDOW {
            silence.add(fingerprint, sent_at);
        }
    }

    /// Records that the connection to a target broke while it worked on a request that was sent at
    /// `sent_at`. The target has not been silent until then, so requests without an answer before
    /// do not exclude this one.
    pub fn record_break(
        &mut self,
        target: &Incarnation,
        fingerprint: Fingerprint,
        sent_at: Instant,
    ) {
        self.record_unanswered(target, fingerprint, sent_at);
        if let Some(silence) = self.silences.get_mut(target) {
            silence.add(fingerprint, sent_at);
        }
    }

    /// Records an answer of a target to a request that was sent at `sent_at`, on a connection that was
    /// established at `opened_at`. On an older connection it shows that the target lives; on a newer
    /// one the next process at its address may have answered.
    pub fn record_alive(&mut self, target: &Incarnation, opened_at: Instant, sent_at: Instant) {
        let is_alive = |silence: &Silence| opened_at < silence.since && sent_at >= silence.since;
        if self.silences.get(target).is_some_and(is_alive) {
            self.silences.remove(target);
        }
    }

    /// Forgets the requests to a target that got no answer because this host lost its link to it.
    pub fn forget(&mut self, target: &Incarnation) {
        self.silences.remove(target);
    }

    /// Records that a target has ended without having drained. Returns the crash if requests to it
    /// got no answer.
    pub fn record_end(&mut self, now: Instant, target: &Incarnation) -> Option<Crash> {
        self.ends.record(now, target);
        self.is_mass_loss = self.ends.loss(now).is_mass();
        let silence = self.silences.remove(target)?;
        let recent = silence
            .unanswered
            .into_iter()
            .filter(|request| now.since(request.sent_at) < MAX_END_DELAY);
        let in_flight: BTreeSet<Fingerprint> = recent.map(|request| request.fingerprint).collect();
        if in_flight.is_empty() {
            return None;
        }
        let crash = Crash {
            target: target.clone(),
            in_flight: in_flight.into_iter().collect(),
        };
        self.report.crashes.push(crash.clone());
        Some(crash)
    }

    /// Records that a request that was sent at `sent_at` ran and was answered. Suspicions that are
    /// older are unfounded.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, sent_at: Instant) {
        for silence in self.silences.values_mut() {
            silence
                .unanswered
                .retain(|request| request.fingerprint != fingerprint || request.sent_at > sent_at);
        }
        let since = self.suspected_since.get(&fingerprint);
        if since.is_some_and(|since| *since <= sent_at) {
            self.report.answered.insert(fingerprint);
            self.acquit(fingerprint, sent_at);
        }
    }

    /// Removes a fingerprint from the crashes that the next leader will get, if they are older than a
    /// request with it that was answered.
    fn acquit(&mut self, fingerprint: Fingerprint, sent_at: Instant) {
        let earlier = self
            .acknowledged
            .iter_mut()
            .filter(|(at, _)| *at <= sent_at);
        for (_, crash) in earlier {
            crash.in_flight.retain(|other| *other != fingerprint);
        }
        self.acknowledged
            .retain(|(_, crash)| !crash.in_flight.is_empty());
    }

    /// Returns what the leader has not acknowledged yet, of this host and of those that report to it.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.merge(&self.relayed);
        report
    }

    /// Records what another host reported to this one, for the leader.
    pub fn relay(&mut self, report: &Report) {
        self.relayed.merge(report);
    }

    /// Records that the leader has received a report.
    pub fn acknowledge(&mut self, now: Instant, report: &Report) {
        // The hosts that reported the others remember them.
        let own = self
            .report
            .crashes
            .iter()
            .filter(|c| report.crashes.contains(c));
        let received = own.cloned().map(|crash| (now, crash));
        self.acknowledged.extend(received);
        self.report.remove(report);
        self.relayed.remove(report);
        let excess = self.acknowledged.len().saturating_sub(MAX_REMEMBERED);
        self.acknowledged.drain(..excess);
    }

    /// Reports all remembered crashes again, since a new leader knows none of them.
    pub fn report_again(&mut self) {
        let acknowledged = std::mem::take(&mut self.acknowledged);
        let crashes = acknowledged.into_iter().map(|(_, crash)| crash);
        self.report.crashes.extend(crashes);
    }

    /// Returns what the leader knows of suspects.
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// Replaces what the leader knows of suspects.
    pub fn set_verdicts(&mut self, now: Instant, verdicts: Verdicts) {
        self.suspected_since
            .retain(|fingerprint, _| verdicts.suspects.contains(fingerprint));
        for fingerprint in &verdicts.suspects {
            self.suspected_since.entry(*fingerprint).or_insert(now);
        }
        // Crashes of which no fingerprint is suspected any more tell the next leader nothing.
        self.acknowledged.retain(|(at, crash)| {
            let mut in_flight = crash.in_flight.iter();
            let is_open = in_flight.any(|fingerprint| verdicts.suspects.contains(fingerprint));
            now.since(*at) < VERDICT_TIME || is_open && now.since(*at) < QUARANTINE_TIME
        });
        self.verdicts = verdicts;
    }

    /// Quarantines a fingerprint, on a record of the log or on the word of the leader.
    pub fn quarantine(&mut self, now: Instant, fingerprint: Fingerprint, is_written: bool) {
        let entry = self.quarantined.entry(fingerprint).or_insert(Entry {
            since: now,
            is_written,
        });
        if now.since(entry.since) >= QUARANTINE_TIME {
            entry.since = now;
        }
        entry.is_written |= is_written;
    }

    /// Returns the fingerprints that are quarantined.
    pub fn quarantined(&self, now: Instant) -> Vec<Fingerprint> {
        self.select(now, |_| true)
    }

    /// Returns the quarantined fingerprints of which the log has no record yet.
    pub fn unwritten(&self, now: Instant) -> Vec<Fingerprint> {
        self.select(now, |entry| !entry.is_written)
    }

    /// Returns the quarantined fingerprints that other hosts may not have read from the log yet.
    pub fn news(&self, now: Instant) -> Vec<Fingerprint> {
        self.select(now, |entry| {
            !entry.is_written || now.since(entry.since) < VERDICT_TIME
        })
    }

    fn select(&self, now: Instant, matches: impl Fn(&Entry) -> bool) -> Vec<Fingerprint> {
        let current = self.quarantined.iter().filter(|(_, entry)| {
            let is_current = now.since(entry.since) < QUARANTINE_TIME;
            is_current && matches(entry)
        });
        current.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Tells whether requests with a fingerprint are to be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let entry = self.quarantined.get(&fingerprint);
        entry.is_some_and(|entry| now.since(entry.since) < QUARANTINE_TIME)
    }

    /// Tells whether a request has to ask the leader before it runs, since it is suspected. After a
    /// loss of many targets there are too many suspects to ask for, and most are harmless.
    pub fn needs_trial(&self, fingerprint: Fingerprint) -> bool {
        !self.is_mass_loss && self.verdicts.suspects.contains(&fingerprint)
    }

    /// Tells whether requests with a fingerprint are to be refused until the leader has evaluated
    /// the crashes at which they were in flight. In a loss of many targets this host's own crashes
    /// that the leader has not acknowledged are no reason.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        if self.verdicts.held.contains(&fingerprint) {
            return true;
        }
        if self.is_mass_loss {
            return false;
        }
        let own = self.report.crashes.iter();
        let own = own.filter(|crash| crash.in_flight.contains(&fingerprint));
        let own = own.count() as u32;
        let known = u32::from(self.verdicts.suspects.contains(&fingerprint));
        own > 0 && own + known >= HELD_CRASHES
    }
}
