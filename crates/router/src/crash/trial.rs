//! Trials of suspected requests, which run one at a time.
//!
//! While the keys of a target that has ended have no owner, copies of the request that ended it wait
//! at all hosts. Without trials all of them would reach the next owner together.

use std::collections::BTreeMap;

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};
use serde::{Deserialize, Serialize};

/// Time after which another copy may run although the end of a trial is not known. It covers the
/// check of a target that ended and the report of its crash, from which requests are held.
const TRIAL_TIME: Span = Span::from_millis(1_500);

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Permission {
    /// It may run, beside others with its fingerprint.
    Free,
    /// It may run, and others with its fingerprint wait for its end.
    Alone,
    /// It has to wait.
    Wait,
}

/// Trials under way, each with the time of its start.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    started: BTreeMap<Fingerprint, Instant>,
}

impl Trials {
    /// Starts a trial, unless one is under way.
    pub(super) fn begin(&mut self, now: Instant, fingerprint: Fingerprint) -> Permission {
        let started = self.started.get(&fingerprint);
        if started.is_some_and(|started| now.since(*started) < TRIAL_TIME) {
            return Permission::Wait;
        }
        self.started.insert(fingerprint, now);
        Permission::Alone
    }

    /// Ends a trial.
    pub(super) fn end(&mut self, fingerprint: Fingerprint) {
        self.started.remove(&fingerprint);
    }

    /// Forgets the trials that have lasted too long.
    pub(super) fn expire(&mut self, now: Instant) {
        self.started
            .retain(|_, started| now.since(*started) < TRIAL_TIME);
    }

    /// Forgets all trials.
    pub(super) fn clear(&mut self) {
        self.started.clear();
    }
}
