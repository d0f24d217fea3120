//! Targets of a node that state that they leave. They count as draining, like those that operators
//! take out.

use crate::{action::Action, event::TargetReport, name, node::Node, time::Instant};

impl Node {
    /// Returns whether a target is to get no new requests and keys: operators took it out, or it
    /// leaves.
    pub(crate) fn is_draining(&self, target: &name::Target) -> bool {
        !self.ledger.is_in_service(target) || self.is_leaving(target)
    }

    /// Returns whether the current run of a target has stated that it leaves.
    pub(crate) fn is_leaving(&self, target: &name::Target) -> bool {
        self.leaving.contains(target, self.start_id(target))
    }

    /// Returns the current run of a target, as its holder knows it.
    fn start_id(&self, target: &name::Target) -> Option<u64> {
        match (self.target_states.get(target), self.reports.get(target)) {
            (Some(state), _) => state.start_id(),
            (None, report) => report?.start_id,
        }
    }

    /// Returns whether the answer to a request is from the current run of a target that this process
    /// holds. `sent_to` is the run that the request was sent to, if it was known then.
    pub(crate) fn is_of_current_run(&self, target: &name::Target, sent_to: Option<u64>) -> bool {
        let state = self.target_states.get(target);
        let current = state.and_then(|state| state.start_id());
        sent_to.is_none() || sent_to == current
    }

    /// Records that a target has answered that it leaves.
    pub(crate) fn record_leaving(
        &mut self,
        now: Instant,
        target: &name::Target,
        sent_to: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let state = self.target_states.get(target);
        let Some(current) = state.and_then(|state| state.start_id()) else {
            return;
        };
        if self.is_of_current_run(target, sent_to) {
            self.leaving.record(target, current);
            self.requeue_undivided(now, target, actions);
        }
    }

    /// Takes over what the holder of a target reports about it. Its absence says nothing, since the
    /// holder may run an earlier release or hold the target only since the statement.
    pub(crate) fn merge_leaving(&mut self, report: &TargetReport) {
        let state = self.target_states.get(&report.target);
        let is_probed = state.is_some_and(|state| state.start_id().is_some());
        let Some(start_id) = report.start_id.filter(|_| !is_probed) else {
            return;
        };
        match report.leaving {
            true => self.leaving.record(&report.target, start_id),
            false => self.leaving.forget_earlier(&report.target, start_id),
        }
    }
}
