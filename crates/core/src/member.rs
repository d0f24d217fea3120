//! Membership: which processes were heard lately.

use std::collections::BTreeMap;

use crate::{
    process::Process,
    time::{Instant, Span},
};

/// When each process was last heard by this one.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct View {
    heard: BTreeMap<Process, Instant>,
    since: BTreeMap<Process, Instant>,
    /// Last message of each process; a restart of the timeouts does not change it.
    met: BTreeMap<Process, Instant>,
}

impl View {
    /// Notes a message from a process.
    pub fn hear(&mut self, process: &Process, now: Instant) {
        self.heard.insert(process.clone(), now);
        self.met.insert(process.clone(), now);
        self.since.entry(process.clone()).or_insert(now);
    }

    /// Forgets since when a silent process was heard.
    pub fn forget_silent(&mut self, now: Instant, span: Span) {
        let heard = &self.heard;
        let silent = |process: &Process| {
            let heard = heard.get(process);
            heard.is_none_or(|heard| now.since(*heard) >= span)
        };
        self.since.retain(|process, _| !silent(process));
    }

    /// Returns how long a process has been heard without a break.
    pub fn heard_for(&self, process: &Process, now: Instant) -> Span {
        let since = self.since.get(process);
        since.map(|since| now.since(*since)).unwrap_or_default()
    }

    /// Starts the suspicion timeout of a process that was not heard yet.
    pub fn expect(&mut self, process: &Process, now: Instant) {
        self.heard.entry(process.clone()).or_insert(now);
    }

    /// Restarts the suspicion timeouts of all processes.
    pub fn restart(&mut self, now: Instant) {
        self.heard.values_mut().for_each(|heard| *heard = now);
    }

    /// Drops processes that are no longer of interest.
    pub fn retain(&mut self, keep: impl Fn(&Process) -> bool) {
        self.heard.retain(|process, _| keep(process));
        self.since.retain(|process, _| keep(process));
        self.met.retain(|process, _| keep(process));
    }

    /// Tells whether a message of a process arrived within a span before `now`.
    pub fn has_met(&self, process: &Process, now: Instant, span: Span) -> bool {
        let met = self.met.get(process);
        met.is_some_and(|met| now.since(*met) < span)
    }

    /// Tells whether a process was heard within a span before `now`.
    pub fn is_heard(&self, process: &Process, now: Instant, span: Span) -> bool {
        let heard = self.heard.get(process);
        heard.is_some_and(|heard| now.since(*heard) < span)
    }
}
