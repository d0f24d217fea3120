//! Loads of a service's targets while a plan is made.

use std::collections::BTreeMap;

use crate::{
    balance::{Availability, Target, View},
    key::Digest,
    name,
    number::Slice,
    record::Share,
};

/// Loads are compared in thousandths of a unit per weight.
const UNITS_PER_LOAD: u64 = 1_000;

/// Load of each target, as changed by the moves planned so far.
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
                .filter(|t| t.stays())
                .map(|t| u64::from(t.weight))
                .sum(),
            loads,
        }
    }

    /// Returns the load per weight of a service that is level.
    pub(crate) fn mean(&self) -> u64 {
        self.total * UNITS_PER_LOAD / self.weight.max(1)
    }

    /// Returns a target's load per weight if `more` is added to it.
    pub(crate) fn load_per_weight(&self, target: &name::Target, more: u64) -> u64 {
        let load = self.loads.get(target).copied().unwrap_or_default() + more;
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        load.saturating_mul(UNITS_PER_LOAD) / u64::from(weight.max(1))
    }

    /// Returns a target's load per weight if `less` is taken from it.
    pub(crate) fn load_per_weight_without(&self, target: &name::Target, less: u64) -> u64 {
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        let less = less.saturating_mul(UNITS_PER_LOAD) / u64::from(weight.max(1));
        self.load_per_weight(target, 0).saturating_sub(less)
    }

    /// Returns the mean load of a target, whatever its weight.
    pub(crate) fn mean_load(&self) -> u64 {
        let targets = self.view.targets.values().filter(|t| t.stays()).count();
        self.total / (targets as u64).max(1)
    }

    /// Returns the load that a load per weight means for a target.
    pub(crate) fn load_for(&self, target: &name::Target, level: u64) -> u64 {
        let weight = self.view.targets.get(target).map_or(0, |t| t.weight);
        level.saturating_mul(u64::from(weight)) / UNITS_PER_LOAD
    }

    /// Returns the highest target that may give slices to others.
    pub(crate) fn highest(&self) -> Option<&'a name::Target> {
        let giving = self.view.targets.iter();
        giving
            .filter(|(_, t)| t.stays())
            .map(|(name, _)| name)
            .max_by_key(|name| self.load_per_weight(name, 0))
    }

    /// Returns the receiver that is lowest once it has `load` more, out of those that `may` take it.
    pub(crate) fn lowest(
        &self,
        load: u64,
        may: impl Fn(&name::Target) -> bool,
    ) -> Option<&'a name::Target> {
        let taking = self.view.targets.iter();
        taking
            .filter(|(name, t)| {
                t.availability == Availability::Accepting && t.weight > 0 && may(name)
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
    fn stays(&self) -> bool {
        matches!(
            self.availability,
            Availability::Accepting | Availability::Closed
        )
    }
}

impl View<'_> {
    /// Returns the load of a slice without the keys of it that are placed apart.
    ///
    /// Each slice counts at least one, so that idle slices are spread as well.
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

    /// Returns all that a target owns, with loads.
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
