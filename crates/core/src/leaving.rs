//! Targets that have stated in an answer that they leave.
//!
//! A statement holds for one run of its target, which the target's start identifier names. It is
//! never withdrawn, since a target that leaves ends.

use std::collections::BTreeMap;

use crate::name;

/// The run of each target that leaves, by its start identifier.
#[derive(Clone, Debug, Default)]
pub struct Leaving(BTreeMap<name::Target, u64>);

impl Leaving {
    /// Records that a run of a target leaves.
    pub fn record(&mut self, target: &name::Target, start_id: u64) {
        self.0.insert(target.clone(), start_id);
    }

    /// Returns whether a target leaves. Its last known run counts if the current one is not known.
    pub fn contains(&self, target: &name::Target, start_id: Option<u64>) -> bool {
        let stated = self.0.get(target);
        stated.is_some_and(|stated| start_id.is_none_or(|current| current == *stated))
    }

    /// Forgets what an earlier run of a target stated.
    pub fn forget_earlier(&mut self, target: &name::Target, start_id: u64) {
        if !self.contains(target, Some(start_id)) {
            self.0.remove(target);
        }
    }

    /// Forgets the targets that don't meet a condition.
    pub fn retain(&mut self, is_kept: impl Fn(&name::Target) -> bool) {
        self.0.retain(|target, _| is_kept(target));
    }
}
