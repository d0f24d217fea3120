//! Model of a target: grants, runs, freezes, losses and cold starts.

use std::collections::VecDeque;

use ragwortrill_core::{
    name,
    number::Epoch,
    time::{Instant, Span},
};

use super::{World, agenda::Job};

/// Time for which a target is cold after a start.
const COLD_TIME: Span = Span::from_secs(2);
/// Service time on a cold target relative to a warm one.
const COLD_SLOWDOWN: u64 = 4;

/// A target of a world.
pub struct Target {
    /// Name in the table.
    pub name: name::Target,
    /// True if it refuses lower epochs and runs requests only under a grant.
    pub checks: bool,
    /// False after a loss, until a restart.
    pub alive: bool,
    /// True if its host is lost too, so that connections time out instead of being refused.
    pub(super) host_lost: bool,
    /// True while it accepts connections but makes no progress.
    pub frozen: bool,
    /// Number that changes with each loss and restart.
    pub start_id: u64,
    /// Highest epoch of an accepted grant since the last restart.
    pub epoch: Epoch,
    /// Highest epoch ever of a run or accepted grant, for the counts of violations, whether the
    /// target checks epochs or not.
    pub(super) highest_epoch_ever: Epoch,
    /// End of its grant.
    pub granted_until: Instant,
    /// Time at which it becomes warm.
    warm_at: Instant,
    /// Service time relative to a healthy target, in per cent.
    pub service_time_percent: u64,
    pub(super) inbox: VecDeque<Job>,
}

impl Target {
    pub(super) fn new(name: name::Target, checks: bool) -> Self {
        Self {
            name,
            checks,
            alive: true,
            host_lost: false,
            frozen: false,
            start_id: 1,
            epoch: Epoch(0),
            highest_epoch_ever: Epoch(0),
            granted_until: Instant::default(),
            warm_at: Instant::default(),
            service_time_percent: 100,
            inbox: VecDeque::new(),
        }
    }

    /// Returns whether its host refuses connections because the target does not run.
    pub(super) fn refuses_connections(&self) -> bool {
        !self.alive && !self.host_lost
    }

    pub(super) fn may_serve(&self, epoch: Epoch, now: Instant) -> bool {
        !self.checks || epoch >= self.epoch && now < self.granted_until
    }

    /// Returns the time of a run that takes `span` on a healthy, warm target.
    pub(super) fn service_time(&self, span: Span, now: Instant) -> Span {
        let factor = if now < self.warm_at { COLD_SLOWDOWN } else { 1 };
        span.scale(self.service_time_percent * factor, 100)
    }
}

impl World {
    /// Runs a job at a target: now, after it resumes if it is frozen, or never if it is lost.
    pub(super) fn run_on_target(&mut self, target_index: usize, job: Job) {
        let target = &mut self.targets[target_index];
        if target.frozen {
            target.inbox.push_back(job);
        } else if target.alive {
            job(self);
        }
    }

    /// Suspends a target until it is resumed.
    pub fn freeze_target(&mut self, target_index: usize) {
        self.targets[target_index].frozen = true;
    }

    /// Resumes a frozen target, which at once handles everything that arrived meanwhile.
    pub fn resume_target(&mut self, target_index: usize) {
        self.targets[target_index].frozen = false;
        for job in std::mem::take(&mut self.targets[target_index].inbox) {
            self.run_on_target(target_index, job);
        }
    }

    /// Ends a target together with its host, which resets no connection.
    pub fn lose_target(&mut self, target_index: usize) {
        self.end_target(target_index, true);
    }

    pub(super) fn end_target(&mut self, target_index: usize, host_lost: bool) {
        let target = &mut self.targets[target_index];
        target.alive = false;
        target.host_lost = host_lost;
        target.frozen = false;
        target.inbox.clear();
        target.start_id += 1;
    }

    /// Starts a lost target, cold and without a grant.
    pub fn restart_target(&mut self, target_index: usize) {
        let warm_at = self.now + COLD_TIME;
        let target = &mut self.targets[target_index];
        target.alive = true;
        target.start_id += 1;
        target.epoch = Epoch(0);
        target.granted_until = Instant::default();
        target.warm_at = warm_at;
    }

    /// Makes a target cold without a restart.
    pub fn make_target_cold(&mut self, target_index: usize) {
        self.targets[target_index].warm_at = self.now + COLD_TIME;
    }
}
