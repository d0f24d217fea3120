//! Counts of what must not happen.

use super::World;

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Moments at which two processes could command the same target.
    pub double_owners: u64,
    /// Runs of a key at a target after another one had taken it over, without leases.
    pub returned_runs: u64,
    /// Second runs of requests that may run once.
    pub double_runs: u64,
    /// Runs under an epoch after the target was commanded under a later one.
    pub stale_runs: u64,
    /// Runs at a target that did not own the key by the log.
    pub wrong_owner_runs: u64,
    /// Refusals as not run of requests that had run or ran later, of those sent once.
    pub false_refusals: u64,
    /// Targets that a request crashed.
    pub crashes: u64,
}

impl Tally {
    /// Returns the number of violations of the design's invariants.
    pub fn violations(&self) -> u64 {
        self.double_owners
            + self.returned_runs
            + self.double_runs
            + self.stale_runs
            + self.wrong_owner_runs
            + self.false_refusals
    }
}

impl World {
    /// Counts the other processes that could command a target that this one can command.
    pub(super) fn count_owners(&mut self, index: usize) {
        let mine: Vec<_> = self.commanded(index);
        for other in (0..self.shells.len()).filter(|other| *other != index) {
            let shell = &self.shells[other];
            if shell.alive && !shell.paused {
                let theirs = self.commanded(other);
                let both = mine.iter().filter(|target| theirs.contains(target));
                self.tally.double_owners += both.count() as u64;
            }
        }
    }

    fn commanded(&self, index: usize) -> Vec<ragwortrill_core::name::Target> {
        let now = self.local(index);
        let node = &self.shells[index].node;
        let times = &node.config().times;
        let ownership = node.ownership();
        let held = ownership.held().keys();
        held.filter(|target| ownership.epoch(target, now, times).is_some())
            .cloned()
            .collect()
    }
}
