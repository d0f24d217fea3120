//! Targets: grants, runs, freezes, losses and cold starts.

use std::collections::VecDeque;

use ragwortrill_core::{
    name,
    number::Epoch,
    time::{Instant, Span},
};

use super::{World, agenda::Job};

/// Time for which a target is cold after it started.
const COLD: Span = Span::from_secs(2);
/// Time of a run on a cold target, relative to a warm one.
const COLD_FACTOR: u64 = 4;

/// A target.
pub struct Site {
    /// Name in the table.
    pub name: name::Target,
    /// True if it refuses lower epochs and serves only under a grant.
    pub checks: bool,
    /// False once it is lost.
    pub alive: bool,
    /// True if its host is lost too, so that it refuses no connection.
    pub(super) silent: bool,
    /// True while it does nothing but accept connections.
    pub frozen: bool,
    /// Number of its run, which changes when it starts again.
    pub mark: u64,
    /// Highest epoch that it has seen.
    pub epoch: Epoch,
    /// Highest epoch of a run or accepted grant, whether it checks epochs or not.
    pub(super) commanded: Epoch,
    /// When its grant ends.
    pub granted_until: Instant,
    /// When it is warm.
    warm_at: Instant,
    /// Time of a run relative to a healthy target, in per cent.
    pub percent: u64,
    pub(super) inbox: VecDeque<Job>,
}

impl Site {
    pub(super) fn new(name: name::Target, checks: bool) -> Self {
        Self {
            name,
            checks,
            alive: true,
            silent: false,
            frozen: false,
            mark: 1,
            epoch: Epoch(0),
            commanded: Epoch(0),
            granted_until: Instant::default(),
            warm_at: Instant::default(),
            percent: 100,
            inbox: VecDeque::new(),
        }
    }

    /// Tells whether its host refuses connections because it does not run.
    pub(super) fn refuses(&self) -> bool {
        !self.alive && !self.silent
    }

    pub(super) fn may_serve(&self, epoch: Epoch, now: Instant) -> bool {
        !self.checks || epoch >= self.epoch && now < self.granted_until
    }

    /// Returns the time of a run that takes `span` on a healthy target.
    pub(super) fn work(&self, span: Span, now: Instant) -> Span {
        let factor = if now < self.warm_at { COLD_FACTOR } else { 1 };
        span.scale(self.percent * factor, 100)
    }
}

impl World {
    /// Does something at a target: now, once it resumes, or never if it is lost.
    pub(super) fn at_site(&mut self, site: usize, job: Job) {
        let target = &mut self.sites[site];
        if target.frozen {
            target.inbox.push_back(job);
        } else if target.alive {
            job(self);
        }
    }

    /// Stops a target until it is resumed.
    pub fn freeze(&mut self, site: usize) {
        self.sites[site].frozen = true;
    }

    /// Resumes a frozen target, which handles at once what reached it meanwhile.
    pub fn thaw(&mut self, site: usize) {
        self.sites[site].frozen = false;
        for job in std::mem::take(&mut self.sites[site].inbox) {
            self.at_site(site, job);
        }
    }

    /// Ends a target with its host, so that no connection is reset.
    pub fn lose_target(&mut self, site: usize) {
        self.end_target(site, true);
    }

    pub(super) fn end_target(&mut self, site: usize, silent: bool) {
        let target = &mut self.sites[site];
        target.alive = false;
        target.silent = silent;
        target.frozen = false;
        target.inbox.clear();
        target.mark += 1;
    }

    /// Starts a lost target, cold and without a grant.
    pub fn restart_target(&mut self, site: usize) {
        let warm_at = self.now + COLD;
        let target = &mut self.sites[site];
        target.alive = true;
        target.mark += 1;
        target.epoch = Epoch(0);
        target.granted_until = Instant::default();
        target.warm_at = warm_at;
    }

    /// Turns a target cold without a restart.
    pub fn make_target_cold(&mut self, site: usize) {
        self.sites[site].warm_at = self.now + COLD;
    }
}
