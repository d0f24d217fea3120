//! Counts of violations.

use super::World;

/// Violations during a run, and crashes of targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Checks that found two processes with a valid lease of the same target.
    pub double_owners: u64,
    /// Runs of a key at its earlier target after another one had run it, under
    /// [`Policy::Hashing`](super::Policy::Hashing).
    pub returned_runs: u64,
    /// Repeated runs of requests that may run only once.
    pub double_runs: u64,
    /// Runs under a lower epoch than that of an earlier run or grant at the target.
    pub stale_runs: u64,
    /// Runs at a target that did not own the key according to the log.
    pub wrong_owner_runs: u64,
    /// Refusals stating that a request did not run, although it had run or ran later. Counted for
    /// requests that were sent once.
    pub false_refusals: u64,
    /// Crashes of targets caused by requests.
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
    /// Counts the other processes with a valid lease of a target of which this one has one too.
    pub(super) fn count_owners(&mut self, index: usize) {
        let mine: Vec<_> = self.leased_targets(index);
        for other in (0..self.daemons.len()).filter(|other| *other != index) {
            let daemon = &self.daemons[other];
            if daemon.alive && !daemon.paused {
                let theirs = self.leased_targets(other);
                let both = mine.iter().filter(|target| theirs.contains(target));
                self.tally.double_owners += both.count() as u64;
            }
        }
    }

    fn leased_targets(&self, index: usize) -> Vec<ragwortrill_core::name::Target> {
        let now = self.local_time(index);
        let node = &self.daemons[index].node;
        let times = &node.config().times;
        let ownership = node.ownership();
        let held = ownership.held().keys();
        held.filter(|target| ownership.epoch(target, now, times).is_some())
            .cloned()
            .collect()
    }
}
