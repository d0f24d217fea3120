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
}

impl View {
    /// Notes a message from a process.
    pub fn hear(&mut self, process: &Process, now: Instant) {
        self.heard.insert(process.clone(), now);
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
    }

    /// Tells whether a process was heard within a span before `now`.
    pub fn is_heard(&self, process: &Process, now: Instant, span: Span) -> bool {
        let heard = self.heard.get(process);
        heard.is_some_and(|heard| now.since(*heard) < span)
    }
}
