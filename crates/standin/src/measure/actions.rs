//! What scenarios do to targets, and the fewest moves that it forces.

use ragwortrill_core::{
    name, placement,
    time::{Instant, Span},
};

use super::{policy::Selection, scenario::Action, world::World};

/// Time for which a planned restart takes a target down.
const RESTART: Span = Span::from_millis(1_500);
/// Load over the mean, in per cent, that forces moves; the plan's default bound.
const BOUND_PERCENT: u64 = 125;

impl World<'_> {
    pub(crate) fn act(&mut self, now: Instant, action: Action) {
        match action {
            Action::Slow(target, percent, span) => {
                self.holders[target].target.slow_down(now + span, percent);
            }
            Action::Freeze(target, span) => self.holders[target].target.freeze(now + span),
            Action::Crash(target, span) => self.crash(now, target, span),
            Action::Chill(target) => self.holders[target].target.make_cold(now),
            Action::Report(target, report_mode) => {
                self.holders[target].target.report_mode = report_mode
            }
            Action::Drain(target) => {
                self.take_out(now, &[target]);
                if self.policy.impatient {
                    self.restart(now, target);
                }
            }
            Action::Return(target) => self.take_back(&[target]),
            Action::Restart(target) => self.restart(now, target),
            Action::DataCentreOut(centre) => self.take_out(now, &self.targets_in(centre)),
            Action::DataCentreBack(centre) => self.take_back(&self.targets_in(centre)),
            Action::HotKey(key) => self.load.heat(key),
        }
    }

    fn targets_in(&self, centre: usize) -> Vec<usize> {
        let all = 0..self.holders.len();
        all.filter(|target| self.holders[*target].data_centre == centre)
            .collect()
    }

    fn take_out(&mut self, now: Instant, targets: &[usize]) {
        let names: Vec<_> = targets
            .iter()
            .map(|t| self.holders[*t].name.clone())
            .collect();
        if self.service.divided_by_key {
            let owners = self.planned.slices.iter();
            let owned = owners.filter(|owner| names.contains(owner));
            self.outcome.forced += owned.count() as u64;
        }
        for target in targets {
            self.holders[*target].out_since = Some(now);
        }
        self.rehash();
    }

    fn take_back(&mut self, targets: &[usize]) {
        for target in targets {
            self.holders[*target].out_since = None;
        }
        self.outcome.forced += self.forced_by_return();
        self.rehash();
    }

    /// Operators restart a target that they drained. Without patience, requests that still run
    /// or stream are interrupted.
    fn restart(&mut self, now: Instant, target: usize) {
        let open = self.holders[target].open.len() as u64;
        if open > 0 && !self.policy.impatient {
            // Not empty yet: a graceful stop waits for the rest.
            let actions = self.scenario.actions.iter();
            let index = actions
                .clone()
                .position(|(_, a)| *a == Action::Restart(target));
            if let Some(index) = index {
                self.agenda.add(
                    now + Span::from_millis(50),
                    super::agenda::Event::Act(index),
                );
            }
            return;
        }
        self.outcome.cut += open;
        self.crash(now, target, RESTART);
    }

    /// Static hashing distributes all slices anew over the targets in service.
    fn rehash(&mut self) {
        if self.policy.selection != Selection::Hashing || !self.service.divided_by_key {
            return;
        }
        let live = self
            .holders
            .iter()
            .filter(|holder| holder.out_since.is_none());
        let weights = live.map(|holder| (holder.name.clone(), 100)).collect();
        let slices = placement::distribute(self.service.slices, &weights);
        let pairs = slices.iter().zip(&self.assignment.slices);
        self.outcome.moves += pairs.filter(|(new, old)| new != old).count() as u64;
        self.assignment.slices.clone_from(&slices);
        self.planned.slices = slices;
    }

    /// Returns the fewest slices that have to leave targets above the bound.
    fn forced_by_return(&self) -> u64 {
        if !self.service.divided_by_key {
            return 0;
        }
        let live = self
            .holders
            .iter()
            .filter(|holder| holder.out_since.is_none());
        let names: Vec<&name::Target> = live.map(|holder| &holder.name).collect();
        let mean = self.loads.iter().sum::<u64>() / (names.len() as u64).max(1);
        let bound = mean * BOUND_PERCENT / 100;
        names
            .iter()
            .map(|name| self.excess_slices(name, bound))
            .sum()
    }

    fn excess_slices(&self, name: &name::Target, bound: u64) -> u64 {
        let owners = self.planned.slices.iter().zip(&self.loads);
        let owned = owners.filter(|(owner, _)| *owner == name);
        let mut loads: Vec<u64> = owned.map(|(_, load)| *load).collect();
        loads.sort_unstable_by(|a, b| b.cmp(a));
        let mut total: u64 = loads.iter().sum();
        let mut count = 0;
        for load in loads {
            if total <= bound {
                break;
            }
            total -= load;
            count += 1;
        }
        count
    }
}
