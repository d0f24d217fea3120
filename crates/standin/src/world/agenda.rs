//! Pending jobs of a world, in order of time.

use std::collections::BTreeMap;

use ragwortrill_core::time::Instant;

use super::World;

/// Function that changes the world when its time comes.
pub(super) type Job = Box<dyn FnOnce(&mut World)>;

/// Pending jobs. Jobs of the same moment keep the order in which they were added.
#[derive(Default)]
pub(super) struct Agenda {
    jobs: BTreeMap<(Instant, u64), Job>,
    added: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at: Instant, job: Job) {
        self.added += 1;
        self.jobs.insert((at, self.added), job);
    }

    /// Takes the next job that is due at or before `end`.
    pub(super) fn next(&mut self, end: Instant) -> Option<(Instant, Job)> {
        let entry = self.jobs.first_entry()?;
        let at = entry.key().0;
        (at <= end).then(|| (at, entry.remove()))
    }
}
