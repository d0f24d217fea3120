//! Failure detector: which processes sent a message recently.

use std::collections::BTreeMap;

use crate::{
    process::Process,
    time::{Instant, Span},
};

/// When this process last received a message from each other process.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FailureDetector {
    /// Start of each process's suspicion timeout: its last message, or a later restart.
    last_seen: BTreeMap<Process, Instant>,
    /// First message since each process was last silent.
    responsive_since: BTreeMap<Process, Instant>,
    /// Last message of each process. A restart of the timeouts does not change it.
    last_message: BTreeMap<Process, Instant>,
}

impl FailureDetector {
    /// Records that a message from a process arrived.
    pub fn observe(&mut self, process: &Process, now: Instant) {
        self.last_seen.insert(process.clone(), now);
        self.last_message.insert(process.clone(), now);
        self.responsive_since.entry(process.clone()).or_insert(now);
    }

    /// Resets the responsive time of processes that are silent for a span.
    pub fn reset_silent(&mut self, now: Instant, span: Span) {
        let last_seen = &self.last_seen;
        let silent = |process: &Process| {
            let last_seen = last_seen.get(process);
            last_seen.is_none_or(|last_seen| now.since(*last_seen) >= span)
        };
        self.responsive_since.retain(|process, _| !silent(process));
    }

    /// Returns how long a process has been responsive without interruption.
    pub fn responsive_for(&self, process: &Process, now: Instant) -> Span {
        let since = self.responsive_since.get(process);
        since.map(|since| now.since(*since)).unwrap_or_default()
    }

    /// Starts the suspicion timeout of a process that has sent no message yet.
    pub fn start_timeout(&mut self, process: &Process, now: Instant) {
        self.last_seen.entry(process.clone()).or_insert(now);
    }

    /// Restarts the suspicion timeouts of all processes.
    pub fn restart_timeouts(&mut self, now: Instant) {
        self.last_seen
            .values_mut()
            .for_each(|last_seen| *last_seen = now);
    }

    /// Drops the processes that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&Process) -> bool) {
        self.last_seen.retain(|process, _| keep(process));
        self.responsive_since.retain(|process, _| keep(process));
        self.last_message.retain(|process, _| keep(process));
    }

    /// Returns whether a message of a process arrived within a span before `now`.
    pub fn was_seen_within(&self, process: &Process, now: Instant, span: Span) -> bool {
        let last_message = self.last_message.get(process);
        last_message.is_some_and(|last_message| now.since(*last_message) < span)
    }

    /// Returns whether a process's suspicion timeout started less than a span before `now`.
    pub fn is_responsive(&self, process: &Process, now: Instant, span: Span) -> bool {
        let last_seen = self.last_seen.get(process);
        last_seen.is_some_and(|last_seen| now.since(*last_seen) < span)
    }
}
