//! Actions of scenarios on targets, and the minimum number of moves that they require.

use ragwortrill_core::{
    name, placement,
    time::{Instant, Span},
};

use super::{policy::Selection, scenario::Action, simulation::Simulation};

/// Time for which a target is down in a planned restart.
const RESTART_DOWNTIME: Span = Span::from_millis(1_500);
/// Load of a target relative to the mean above which slices have to move: the planner's default.
const MAX_LOAD_PERCENT: u64 = 125;

impl Simulation<'_> {
    pub(crate) fn apply(&mut self, now: Instant, action: Action) {
        match action {
            Action::Slow(target, percent, span) => {
                self.holders[target].target.slow_down(now + span, percent);
            }
            Action::Freeze(target, span) => self.holders[target].target.freeze(now + span),
            Action::Crash(target, span) => self.crash(now, target, span),
            Action::MakeCold(target) => self.holders[target].target.make_cold(now),
            Action::Report(target, report_mode) => {
                self.holders[target].target.report_mode = report_mode
            }
            Action::Drain(target) => {
                self.remove_targets(now, &[target]);
                if self.policy.interrupts_requests {
                    self.restart(now, target);
                }
            }
            Action::Return(target) => self.return_targets(&[target]),
            Action::Restart(target) => self.restart(now, target),
            Action::DataCentreOut(centre) => self.remove_targets(now, &self.targets_in(centre)),
            Action::DataCentreBack(centre) => self.return_targets(&self.targets_in(centre)),
            Action::HotKey(key) => self.load.set_hot_key(key),
        }
    }

    fn targets_in(&self, centre: usize) -> Vec<usize> {
        let all = 0..self.holders.len();
        all.filter(|target| self.holders[*target].data_centre == centre)
            .collect()
    }

    fn remove_targets(&mut self, now: Instant, targets: &[usize]) {
        let names: Vec<_> = targets
            .iter()
            .map(|t| self.holders[*t].name.clone())
            .collect();
        if self.service.divided_by_key {
            let owners = self.planned.slices.iter();
            let owned = owners.filter(|owner| names.contains(owner));
            self.outcome.forced_moves += owned.count() as u64;
        }
        for target in targets {
            self.holders[*target].out_since = Some(now);
        }
        self.rehash();
    }

    fn return_targets(&mut self, targets: &[usize]) {
        for target in targets {
            self.holders[*target].out_since = None;
        }
        self.outcome.forced_moves += self.forced_by_return();
        self.rehash();
    }

    /// Restarts a drained target, as operators do. Waits until no request runs or streams, unless
    /// the policy interrupts them.
    fn restart(&mut self, now: Instant, target: usize) {
        let open = self.holders[target].open.len() as u64;
        if open > 0 && !self.policy.interrupts_requests {
            // A graceful stop waits for the remaining requests, so the restart is tried again later.
            let actions = self.scenario.actions.iter();
            let index = actions
                .clone()
                .position(|(_, a)| *a == Action::Restart(target));
            if let Some(index) = index {
                self.agenda.add(
                    now + Span::from_millis(50),
                    super::agenda::Event::Action(index),
                );
            }
            return;
        }
        self.outcome.interrupted += open;
        self.crash(now, target, RESTART_DOWNTIME);
    }

    /// Under static hashing, distributes all slices anew over the targets in service.
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

    /// Returns the minimum number of slices that have to move away from overloaded targets.
    fn forced_by_return(&self) -> u64 {
        if !self.service.divided_by_key {
            return 0;
        }
        let live = self
            .holders
            .iter()
            .filter(|holder| holder.out_since.is_none());
        let names: Vec<&name::Target> = live.map(|holder| &holder.name).collect();
        let mean = self.slice_loads.iter().sum::<u64>() / (names.len() as u64).max(1);
        let bound = mean * MAX_LOAD_PERCENT / 100;
        names
            .iter()
            .map(|name| self.excess_slices(name, bound))
            .sum()
    }

    fn excess_slices(&self, name: &name::Target, bound: u64) -> u64 {
        let owners = self.planned.slices.iter().zip(&self.slice_loads);
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
