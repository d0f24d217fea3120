//! Loads of a service's targets while moves are planned.

use std::collections::BTreeMap;

use crate::{
    balance::{Availability, Target, View},
    key::Digest,
    name,
    number::Slice,
    record::Share,
};

/// Loads per weight are counted in thousandths of a unit of load.
const UNITS_PER_LOAD: u64 = 1_000;

/// Load of each target, including the effect of the moves planned so far.
pub(crate) struct Tally<'a> {
    view: &'a View<'a>,
    loads: BTreeMap<&'a name::Target, u64>,
    total: u64,
    weight: u64,
}

impl<'a> Tally<'a> {
    pub(crate) fn new(view: &'a View<'a>) -> Self {
        let mut loads: BTreeMap<&name::Target, u64> =
            view.targets.keys().map(|target| (target, 0)).collect();
        let slices = view.assignment.slices.iter().enumerate();
        for (slice, owner) in slices {
            *loads.entry(owner).or_default() += view.slice_load(Slice(slice as u32));
        }
        for (key, owner) in &view.assignment.keys {
            *loads.entry(owner).or_default() += view.key_load(*key);
        }
        Self {
            view,
            total: loads.values().sum(),
            weight: view
                .targets
                .values()
                .filter(|t| t.keeps_shares())
                .map(|t| u64::from(t.weight))
                .sum(),
            loads,
        }
    }

    /// Returns the mean load per weight: the value for each target if the load were even.
    pub(crate) fn mean(&self) -> u64 {
        self.total * UNITS_PER_LOAD / self.weight.max(1)
    }

    /// Returns the load per weight of a target after `more` load is added to it.
    pub(crate) fn load_per_weight(&self, target: &name::Target, more: u64) -> u64 {
        let load = self.loads.get(target).copied().unwrap_or_default() + more;
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        load.saturating_mul(UNITS_PER_LOAD) / u64::from(weight.max(1))
    }

    /// Returns the load per weight of a target after `less` load is taken from it.
    pub(crate) fn load_per_weight_without(&self, target: &name::Target, less: u64) -> u64 {
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        let less = less.saturating_mul(UNITS_PER_LOAD) / u64::from(weight.max(1));
        self.load_per_weight(target, 0).saturating_sub(less)
    }

    /// Returns the mean load of a target, regardless of weights.
    pub(crate) fn mean_load(&self) -> u64 {
        let targets = self
            .view
            .targets
            .values()
            .filter(|t| t.keeps_shares())
            .count();
        self.total / (targets as u64).max(1)
    }

    /// Converts a load per weight to the load of a target.
    pub(crate) fn load_for(&self, target: &name::Target, level: u64) -> u64 {
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        level.saturating_mul(u64::from(weight)) / UNITS_PER_LOAD
    }

    /// Returns the target with the highest load per weight, without draining and lost ones.
    pub(crate) fn highest(&self) -> Option<&'a name::Target> {
        let targets = self.view.targets.iter();
        targets
            .filter(|(_, t)| t.keeps_shares())
            .map(|(name, _)| name)
            .max_by_key(|name| self.load_per_weight(name, 0))
    }

    /// Returns the receiver that has the lowest load per weight after it gets `load`, out of those
    /// that match `may_receive`.
    pub(crate) fn lowest(
        &self,
        load: u64,
        may_receive: impl Fn(&name::Target) -> bool,
    ) -> Option<&'a name::Target> {
        let targets = self.view.targets.iter();
        targets
            .filter(|(name, t)| {
                t.availability == Availability::Accepting && t.weight > 0 && may_receive(name)
            })
            .map(|(name, _)| name)
            .min_by_key(|name| self.load_per_weight(name, load))
    }

    pub(crate) fn shift(&mut self, from: &'a name::Target, to: &'a name::Target, load: u64) {
        if let Some(source) = self.loads.get_mut(from) {
            *source -= load.min(*source);
        }
        *self.loads.entry(to).or_default() += load;
    }
}

impl Target {
    fn keeps_shares(&self) -> bool {
        matches!(
            self.availability,
            Availability::Accepting | Availability::Closed
        )
    }
}

impl View<'_> {
    /// Returns the load of a slice, plus one, without its keys that are placed apart.
    ///
    /// The one is added so that idle slices are spread as well.
    pub(crate) fn slice_load(&self, slice: Slice) -> u64 {
        self.slices
            .get(slice.0 as usize)
            .copied()
            .unwrap_or_default()
            + 1
    }

    pub(crate) fn key_load(&self, key: Digest) -> u64 {
        self.keys.get(&key).copied().unwrap_or_default()
    }

    /// Returns the slices and keys that a target owns, with their loads.
    pub(crate) fn owned(&self, target: &name::Target) -> Vec<(Share, u64)> {
        let slices = self.assignment.slices.iter().enumerate();
        let slices = slices.filter(|(_, owner)| *owner == target);
        let slices = slices.map(|(index, _)| Slice(index as u32));
        let slices = slices.map(|slice| (Share::Slice(slice), self.slice_load(slice)));
        let keys = self.assignment.keys.iter();
        let keys = keys.filter(|(_, owner)| *owner == target);
        let keys = keys.map(|(key, _)| (Share::Key(*key), self.key_load(*key)));
        slices.chain(keys).collect()
    }
}
