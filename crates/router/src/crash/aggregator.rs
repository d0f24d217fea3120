//! Evaluation of the crashes that all hosts report, by the host that leads.
//!
//! The work has a bound that no number of events raises. A report costs in proportion to its size;
//! fingerprints of a crash that are known are only looked up. Everything else happens in an
//! evaluation, at most once in [`EVALUATION_INTERVAL`]: it touches each pair of a target and a
//! fingerprint once, when its report window is over, and each suspect once. At most
//! [`MAX_PENDING`] pairs wait, and at most `MAX_SUSPICIONS` fingerprints are kept beyond them, so an
//! evaluation takes at most [`MAX_EVALUATION_STEPS`] steps. Hosts are told at most [`MAX_SUSPECTS`]
//! suspects, and the version rises at most once in an evaluation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ragwortrill_core::{
    quarantine::{MAX_CRASHES, Quarantine, Status},
    request::Fingerprint,
    time::{Instant, Span},
};

use super::{
    Crash, HELD_CRASHES, MASS_LOSS_WINDOW, MAX_IN_FLIGHT, QUARANTINE_TIME, REPORT_WINDOW, Verdicts,
    ends::{Ends, Loss},
    trial::{Permission, Trials},
};
use crate::registration::Incarnation;

/// Shortest interval between two evaluations.
pub const EVALUATION_INTERVAL: Span = Span::from_millis(100);
/// Maximum number of pairs of a target and a fingerprint that wait to be evaluated. Further ones are
/// left out.
pub const MAX_PENDING: usize = 16_384;
/// Maximum number of suspects that hosts are told. Those with the most crashes go first.
pub const MAX_SUSPECTS: usize = 512;
/// Maximum number of fingerprints that are kept after an evaluation. Those with the most crashes stay.
const MAX_SUSPICIONS: usize = 4_096;
/// Maximum number of pairs and suspects that one evaluation touches.
pub const MAX_EVALUATION_STEPS: u64 = 3 * (MAX_PENDING + MAX_SUSPICIONS) as u64;

/// Crashes as reported by all hosts, which the leader evaluates.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    quarantine: Quarantine,
    ends: Ends,
    crashes: BTreeMap<u64, Record>,
    suspicions: BTreeMap<Fingerprint, Suspicion>,
    /// Crashes that wait to be evaluated, with the time of their first report, in its order.
    due: VecDeque<(Instant, u64)>,
    /// Number of pairs of a target and a fingerprint that wait.
    pending: usize,
    trials: Trials,
    evaluated_at: Option<Instant>,
    is_changed: bool,
    /// Crashes of the last evaluation.
    evaluated: Vec<Evaluated>,
    verdicts: Verdicts,
    /// Number of changes of the verdicts.
    version: u64,
    steps: u64,
}

/// A crash that was evaluated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evaluated {
    /// Target that crashed.
    pub target: Incarnation,
    /// Number of requests in flight that were not answered since.
    pub suspects: usize,
    /// Number of targets that were lost together with it, itself included.
    pub lost: usize,
}

/// Fingerprints that were in flight at the end of a target.
#[derive(Clone, Debug)]
struct Record {
    target: Incarnation,
    counted: BTreeSet<Fingerprint>,
    pending: BTreeSet<Fingerprint>,
}

/// Ends at which a fingerprint was in flight since it was last answered.
#[derive(Clone, Debug)]
struct Suspicion {
    /// Numbers of the ends, in order.
    ends: Vec<u64>,
    last_report: Instant,
    /// Number of losses of many targets at which it was in flight, each counted once however many of
    /// the targets had a request with it.
    losses: u32,
    last_loss: Option<Instant>,
}

impl Suspicion {
    /// Counts a loss of many targets, unless an earlier one was shortly before.
    fn count_loss(&mut self, at: Instant) {
        if self.is_new_loss(at) {
            self.losses += 1;
            self.last_loss = Some(at);
        }
    }

    fn is_new_loss(&self, at: Instant) -> bool {
        let is_apart = |last: Instant| at.since(last) >= MASS_LOSS_WINDOW;
        self.last_loss.is_none_or(is_apart)
    }

    /// Returns whether a request with the fingerprint was in flight at all of these ends.
    fn was_at_all(&self, loss: Loss) -> bool {
        let first = self.ends.partition_point(|number| *number < loss.first);
        let end = self.ends.partition_point(|number| *number <= loss.last);
        end - first == loss.len()
    }
}

impl Aggregator {
    /// Records that a target ended without having drained, whether or not requests were in flight.
    pub fn record_loss(&mut self, now: Instant, target: &Incarnation) {
        self.ends.record(now, target);
    }

    /// Adds a crash that a host observed.
    pub fn add(&mut self, now: Instant, crash: Crash) {
        let number = self.ends.record(now, &crash.target);
        self.forget_ends();
        let record = self.crashes.entry(number).or_insert_with(|| Record {
            target: crash.target,
            counted: BTreeSet::new(),
            pending: BTreeSet::new(),
        });
        for fingerprint in crash.in_flight.into_iter().take(MAX_IN_FLIGHT) {
            self.steps += 1;
            let is_known =
                record.counted.contains(&fingerprint) || record.pending.contains(&fingerprint);
            let is_full = record.counted.len() + record.pending.len() >= MAX_IN_FLIGHT
                || self.pending >= MAX_PENDING;
            let is_quarantined = self.quarantine.status(fingerprint) == Status::Quarantined;
            if is_known || is_full || is_quarantined {
                continue;
            }
            if record.pending.is_empty() {
                self.due.push_back((now, number));
            }
            record.pending.insert(fingerprint);
            self.pending += 1;
            let first = self.ends.first();
            let suspicion = self.suspicions.entry(fingerprint).or_insert(Suspicion {
                ends: Vec::new(),
                last_report: now,
                losses: 0,
                last_loss: None,
            });
            suspicion.record(number, first);
            suspicion.last_report = now;
            self.is_changed = true;
        }
    }

    /// Forgets the crashes of targets whose ends are no longer remembered.
    fn forget_ends(&mut self) {
        let first = self.ends.first();
        while let Some(entry) = self.crashes.first_entry().filter(|e| *e.key() < first) {
            self.pending -= entry.remove().pending.len();
        }
    }

    /// Clears a fingerprint of suspicion, since a request with it was answered.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        self.steps += 1;
        self.quarantine.clear_suspect(fingerprint);
        self.is_changed |= self.suspicions.remove(&fingerprint).is_some();
    }

    /// Decides whether a request may run now. One that is suspected because of the end of a single
    /// target runs while no other one with its fingerprint does, at any host.
    pub fn begin_trial(&mut self, now: Instant, fingerprint: Fingerprint) -> Permission {
        let is_refused = self.quarantine.status(fingerprint) == Status::Quarantined
            || self.verdicts.held.contains(&fingerprint);
        match is_refused {
            true => Permission::Wait,
            false if self.is_suspected_alone(fingerprint) => self.trials.begin(now, fingerprint),
            false => Permission::Free,
        }
    }

    /// Ends a trial whose request did not crash its target.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, is_answered: bool) {
        self.trials.end(fingerprint);
        if is_answered {
            self.clear_suspect(fingerprint);
        }
    }

    /// Returns whether a request was in flight at an end that belongs to no loss of many targets.
    fn is_suspected_alone(&self, fingerprint: Fingerprint) -> bool {
        let is_single = |number: &u64| {
            let at = self.ends.at(*number);
            at.is_some_and(|at| !self.ends.loss(at).is_mass())
        };
        let suspicion = self.suspicions.get(&fingerprint);
        suspicion.is_some_and(|suspicion| suspicion.ends.iter().any(is_single))
    }

    /// Forgets the reported crashes and all suspicions, since another host leads: it gets the crashes
    /// again and the answers from now on.
    pub fn forget_reports(&mut self) {
        self.quarantine.clear_suspects();
        self.crashes.clear();
        self.suspicions.clear();
        self.due.clear();
        self.trials.clear();
        self.pending = 0;
        self.is_changed = true;
    }

    /// Evaluates the crashes whose report window is over, unless the last evaluation was shortly
    /// before. Returns the fingerprints to quarantine.
    pub fn decide(&mut self, now: Instant) -> Vec<Fingerprint> {
        let is_early = |last: Instant| now.since(last) < EVALUATION_INTERVAL;
        if self.evaluated_at.is_some_and(is_early) {
            return Vec::new();
        }
        self.evaluated_at = Some(now);
        self.evaluated.clear();
        let mut found = Vec::new();
        while let Some((since, number)) = self.due.front().copied() {
            if now.since(since) < REPORT_WINDOW {
                break;
            }
            self.due.pop_front();
            found.extend(self.evaluate(now, number));
            self.is_changed = true;
        }
        for fingerprint in &found {
            self.suspicions.remove(fingerprint);
        }
        self.expire(now);
        if std::mem::take(&mut self.is_changed) {
            self.update_verdicts();
        }
        found
    }

    /// Evaluates one crash. Returns the fingerprints to quarantine.
    fn evaluate(&mut self, now: Instant, number: u64) -> Vec<Fingerprint> {
        let (Some(record), Some(at)) = (self.crashes.get_mut(&number), self.ends.at(number)) else {
            return Vec::new();
        };
        let is_late = !record.counted.is_empty();
        let pending = std::mem::take(&mut record.pending);
        self.pending -= pending.len();
        self.steps += pending.len() as u64;
        record.counted.extend(&pending);
        let suspicions = &self.suspicions;
        let is_open = |fingerprint: &&Fingerprint| {
            let suspicion = suspicions.get(*fingerprint);
            suspicion.is_some_and(|suspicion| suspicion.ends.binary_search(&number).is_ok())
        };
        let suspects: Vec<Fingerprint> = pending.iter().filter(is_open).copied().collect();
        let loss = self.ends.loss(at);
        self.evaluated.push(Evaluated {
            target: record.target.clone(),
            suspects: suspects.len(),
            lost: loss.len(),
        });
        let counted = match loss.is_mass() {
            true => self.common(&suspects, loss),
            false => suspects.clone(),
        };
        let mut found = match is_late {
            true => self.quarantine.record_late_crash(now, &counted),
            false => self.quarantine.record_crash(now, &counted),
        };
        for fingerprint in suspects {
            let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else {
                continue;
            };
            if loss.is_mass() && !counted.contains(&fingerprint) {
                suspicion.count_loss(at);
            }
            let is_new = !found.contains(&fingerprint);
            if is_new && suspicion.losses > 0 && self.crashes_of(fingerprint) >= MAX_CRASHES {
                self.quarantine.add(now, fingerprint);
                found.push(fingerprint);
            }
        }
        found
    }

    /// Returns the fingerprint that alone was in flight at all targets that were lost together.
    fn common(&self, suspects: &[Fingerprint], loss: Loss) -> Vec<Fingerprint> {
        let was_at_all = |fingerprint: &&Fingerprint| {
            let suspicion = self.suspicions.get(*fingerprint);
            suspicion.is_some_and(|suspicion| suspicion.was_at_all(loss))
        };
        let common: Vec<Fingerprint> = suspects.iter().filter(was_at_all).copied().collect();
        match common.len() {
            1 => common,
            _ => Vec::new(),
        }
    }

    /// Returns the number of evaluated crashes and losses of a fingerprint.
    fn crashes_of(&self, fingerprint: Fingerprint) -> u32 {
        let crashes = self.quarantine.suspects().get(&fingerprint);
        let losses = self.suspicions.get(&fingerprint);
        crashes.map_or(0, |s| s.crashes) + losses.map_or(0, |s| s.losses)
    }

    fn expire(&mut self, now: Instant) {
        let before = self.suspicions.len();
        self.steps += before as u64;
        let is_current = |s: &Suspicion| now.since(s.last_report) < QUARANTINE_TIME;
        self.suspicions.retain(|_, s| is_current(s));
        let excess = self.suspicions.len().saturating_sub(MAX_SUSPICIONS);
        if excess > 0 {
            let weakest = self.ranked().into_iter().rev().take(excess);
            for fingerprint in weakest.collect::<Vec<_>>() {
                self.suspicions.remove(&fingerprint);
            }
        }
        self.is_changed |= self.suspicions.len() < before;
        self.quarantine.expire(now);
        self.trials.expire(now);
    }

    /// Returns the suspected fingerprints, those with the most crashes first, and of these the newest.
    fn ranked(&self) -> Vec<Fingerprint> {
        let rank = |(fingerprint, suspicion): (&Fingerprint, &Suspicion)| {
            let crashes = self.crashes_of(*fingerprint);
            ((crashes, suspicion.last_report), *fingerprint)
        };
        let mut ranked: Vec<_> = self.suspicions.iter().map(rank).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
            .into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    fn update_verdicts(&mut self) {
        self.steps += self.suspicions.len() as u64;
        let verdicts = Verdicts {
            suspects: self.ranked().into_iter().take(MAX_SUSPECTS).collect(),
            held: self.held(),
        };
        if verdicts != self.verdicts {
            self.verdicts = verdicts;
            self.version += 1;
        }
    }

    /// Returns the suspects whose requests are refused until their crashes are evaluated.
    ///
    /// An honest one of a loss of many targets is answered by other targets before the verdict, which
    /// clears it, so such a loss counts only for a suspect that the verdict would quarantine.
    fn held(&mut self) -> BTreeSet<Fingerprint> {
        let mut alone: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        let mut held = BTreeSet::new();
        for (_, number) in &self.due {
            let (Some(record), Some(at)) = (self.crashes.get(number), self.ends.at(*number)) else {
                continue;
            };
            let is_mass = self.ends.loss(at).is_mass();
            self.steps += record.pending.len() as u64;
            for fingerprint in &record.pending {
                let Some(suspicion) = self.suspicions.get(fingerprint) else {
                    continue;
                };
                if suspicion.ends.binary_search(number).is_err() {
                    continue;
                }
                if !is_mass {
                    *alone.entry(*fingerprint).or_default() += 1;
                }
                let counts = !is_mass || suspicion.is_new_loss(at);
                if counts && self.crashes_of(*fingerprint) + 1 >= MAX_CRASHES {
                    held.insert(*fingerprint);
                }
            }
        }
        let evaluated = self.quarantine.suspects();
        for (fingerprint, pending) in alone {
            let earlier = evaluated.get(&fingerprint).map_or(0, |s| s.crashes);
            if pending + earlier >= HELD_CRASHES {
                held.insert(fingerprint);
            }
        }
        held
    }

    /// Returns what hosts are told about suspects, as of the last evaluation.
    pub fn verdicts(&self) -> Verdicts {
        self.verdicts.clone()
    }

    /// Returns the number of changes of the verdicts so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes the crashes that the last evaluation has evaluated.
    pub fn take_evaluated(&mut self) -> Vec<Evaluated> {
        std::mem::take(&mut self.evaluated)
    }

    /// Returns the number of fingerprints that reports and evaluations have looked at so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

impl Suspicion {
    /// Records an end, and forgets those before the first one that is remembered.
    fn record(&mut self, number: u64, first: u64) {
        let forgotten = self.ends.partition_point(|known| *known < first);
        self.ends.drain(..forgotten);
        if let Err(index) = self.ends.binary_search(&number) {
            self.ends.insert(index, number);
        }
    }
}
