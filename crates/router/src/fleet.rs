//! Targets that are registered in the platform's store.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::{
    leaving::{Leaving, Source},
    registration::{Incarnation, Registration},
};

/// Time after the end of a store outage in which entries that expired during it may reappear.
const RETURN_GRACE: Span = Span::from_millis(2_000);
/// Minimum duration of a store failure after which entries may have expired because of it.
const MIN_OUTAGE: Span = Span::from_millis(800);
/// Time for which a removed target is remembered, so that a store restored from a copy does not
/// bring it back.
const REMOVED_MEMORY: Span = Span::from_secs(120);
/// Time for which a target is treated as cold after the evacuation of its data centre ends.
const EVACUATION_COLD_TIME: Span = Span::from_millis(1_500);

/// A known target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest entry of the target.
    pub registration: Registration,
    /// Time until which the target is cold.
    pub cold_until: Instant,
    /// Whether the entry was removed but may reappear after an outage of the store.
    pub is_missing: bool,
}

/// Effect of an entry, or of its removal, on the view of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing relevant changed.
    None,
    /// A target, or a new incarnation of it, appeared.
    Started,
    /// The target started to drain.
    Draining,
    /// The target became cold, or its slots or draining state changed.
    Updated,
    /// The entry was removed during or shortly after an outage of the store, and may reappear.
    Missing,
    /// The target was removed.
    Gone,
}

/// All known targets, and the data centres that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<name::Target, Target>,
    evacuated: BTreeSet<name::DataCentre>,
    /// Targets that have stated that they leave, whatever their entries say.
    leaving: Leaving,
    failing_since: Option<Instant>,
    grace_until: Instant,
    /// Time until which entries may be older than what is known, after a restore of the store.
    restored_until: Instant,
    /// Latest entries of the targets that were removed, and when.
    removed: BTreeMap<name::Target, (Instant, Registration)>,
}

impl Fleet {
    /// Returns all targets by id.
    pub fn targets(&self) -> &BTreeMap<name::Target, Target> {
        &self.targets
    }

    /// Returns the target with the given id.
    pub fn get(&self, id: &name::Target) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the targets of a service that accept requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = &'a Target> + 'a {
        let all = self.targets.values();
        all.filter(move |t| &t.registration.service == service && self.is_serving(t))
    }

    /// Tells whether an incarnation has an entry.
    pub fn lists(&self, incarnation: &Incarnation) -> bool {
        is_listed(&self.targets, incarnation)
    }

    /// Tells whether a target accepts requests: it neither drains nor is evacuated.
    pub fn is_serving(&self, target: &Target) -> bool {
        let data_centre = &target.registration.data_centre;
        !self.is_draining(target) && !self.evacuated.contains(data_centre)
    }

    /// Tells whether a target is about to end, by its entry or its own answers.
    pub fn is_draining(&self, target: &Target) -> bool {
        let registration = &target.registration;
        registration.is_draining || self.is_leaving(&registration.incarnation)
    }

    /// Tells whether a target has stated that it leaves.
    pub fn is_leaving(&self, target: &Incarnation) -> bool {
        self.leaving.contains(target)
    }

    /// Returns the listed targets that have stated that they leave, and where that is known from.
    pub fn leaving(&self) -> impl Iterator<Item = (&Incarnation, Source)> {
        let all = self.leaving.iter();
        all.filter(|(target, _)| is_listed(&self.targets, target))
    }

    /// Records that a target leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Instant, target: &Incarnation, source: Source) -> bool {
        // Each exchange between hosts repeats what is known.
        if source != Source::Answer && self.leaving.source(target) >= Some(source) {
            return false;
        }
        self.leaving.expire(now, |t| is_listed(&self.targets, t));
        self.leaving.record(now, target, source)
    }

    /// Tells whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &name::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Applies an entry of the store, or its removal if there is none.
    pub fn apply(
        &mut self,
        now: Instant,
        id: &name::Target,
        entry: Option<Registration>,
    ) -> Change {
        match entry {
            Some(registration) => self.register(now, registration),
            None => self.remove(now, id),
        }
    }

    /// Removes the targets that are absent from a complete listing. Returns their ids.
    pub fn retain(&mut self, now: Instant, listed: &BTreeSet<name::Target>) -> Vec<name::Target> {
        let known = self.targets.keys().filter(|id| !listed.contains(*id));
        let absent: Vec<name::Target> = known.cloned().collect();
        for id in &absent {
            self.remove(now, id);
        }
        absent
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that a call to the store succeeded.
    pub fn store_answered(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.since(since) >= MIN_OUTAGE {
            self.grace_until = now + RETURN_GRACE;
        }
    }

    /// Records that the store was restored from an older copy. Until targets have written their
    /// entries again, entries may be missing or older than what is known.
    pub fn store_restored(&mut self, now: Instant) {
        self.restored_until = now + RETURN_GRACE;
        self.grace_until = self.grace_until.max(self.restored_until);
    }

    /// Tells whether the store was restored from a copy so recently that the operators and targets
    /// may not have written again what was lost.
    pub fn is_restoring(&self, now: Instant) -> bool {
        now < self.restored_until
    }

    /// Tells whether an entry is older than what is known about its target.
    fn is_outdated(&self, entry: &Registration) -> bool {
        let id = &entry.incarnation.id;
        let known = self.targets.get(id).map(|target| &target.registration);
        let removed = self.removed.get(id).map(|(_, registration)| registration);
        let is_older = |other: &Registration| {
            let start = (entry.incarnation.start_ms, entry.sequence);
            start < (other.incarnation.start_ms, other.sequence)
        };
        let is_same = |other: &Registration| {
            entry.incarnation == other.incarnation && entry.sequence <= other.sequence
        };
        known.is_some_and(|known| is_older(known) || is_same(known) && known.is_draining)
            || removed.is_some_and(|removed| is_older(removed) || is_same(removed))
    }

    /// Returns the time at which targets with missing entries are to be removed, if there are any.
    pub fn expires_at(&self) -> Option<Instant> {
        let is_due = self.failing_since.is_none() && self.targets.values().any(|t| t.is_missing);
        is_due.then_some(self.grace_until)
    }

    /// Removes the targets whose missing entries did not reappear in time. Returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<name::Target> {
        if now < self.grace_until || self.failing_since.is_some() {
            return Vec::new();
        }
        let missing = self.targets.iter().filter(|(_, target)| target.is_missing);
        let gone: Vec<name::Target> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.forget(now, id);
        }
        gone
    }

    /// Starts the evacuation of a data centre. Returns false if it is already evacuated.
    pub fn evacuate(&mut self, data_centre: &name::DataCentre) -> bool {
        self.evacuated.insert(data_centre.clone())
    }

    /// Ends the evacuation of a data centre. Its targets may have become cold meanwhile.
    pub fn restore(&mut self, now: Instant, data_centre: &name::DataCentre) -> bool {
        let was_evacuated = self.evacuated.remove(data_centre);
        if was_evacuated {
            let all = self.targets.values_mut();
            for target in all.filter(|t| &t.registration.data_centre == data_centre) {
                target.cold_until = target.cold_until.max(now + EVACUATION_COLD_TIME);
            }
        }
        was_evacuated
    }

    /// Treats a target as cold that responds again after its circuit breaker was open, while the
    /// store can't tell whether it has restarted under the same id.
    pub fn suspect_restart(&mut self, now: Instant, id: &name::Target, cold_start: Span) {
        if let Some(target) = self.targets.get_mut(id) {
            target.cold_until = target.cold_until.max(now + cold_start);
        }
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<name::DataCentre> {
        &self.evacuated
    }

    fn register(&mut self, now: Instant, registration: Registration) -> Change {
        if self.is_restoring(now) && self.is_outdated(&registration) {
            return Change::None;
        }
        self.removed.remove(&registration.incarnation.id);
        let cold_until = now + registration.cold;
        let Some(known) = self.targets.get_mut(&registration.incarnation.id) else {
            let change = match registration.is_draining {
                true => Change::Draining,
                false => Change::Started,
            };
            let target = Target {
                cold_until,
                is_missing: false,
                registration: registration.clone(),
            };
            self.targets
                .insert(registration.incarnation.id.clone(), target);
            return change;
        };
        let change = difference(&known.registration, &registration);
        known.is_missing = false;
        known.registration = registration;
        known.cold_until = match change {
            Change::Started => cold_until,
            _ => known.cold_until.max(cold_until),
        };
        change
    }

    fn remove(&mut self, now: Instant, id: &name::Target) -> Change {
        let may_return = now < self.grace_until || self.failing_since.is_some();
        let Some(target) = self.targets.get_mut(id) else {
            return Change::None;
        };
        let incarnation = &target.registration.incarnation;
        let is_draining = target.registration.is_draining || self.leaving.contains(incarnation);
        if may_return && !is_draining {
            target.is_missing = true;
            return Change::Missing;
        }
        self.forget(now, id);
        Change::Gone
    }

    fn forget(&mut self, now: Instant, id: &name::Target) {
        let Some(target) = self.targets.remove(id) else {
            return;
        };
        self.removed.insert(id.clone(), (now, target.registration));
        self.removed
            .retain(|_, (at, _)| now.since(*at) < REMOVED_MEMORY);
    }
}

fn is_listed(targets: &BTreeMap<name::Target, Target>, incarnation: &Incarnation) -> bool {
    let known = targets.get(&incarnation.id);
    known.is_some_and(|target| &target.registration.incarnation == incarnation)
}

fn difference(old: &Registration, new: &Registration) -> Change {
    if old.incarnation != new.incarnation || old.service != new.service {
        return Change::Started;
    }
    if new.is_draining && !old.is_draining {
        return Change::Draining;
    }
    let became_cold = new.cold > old.cold;
    match became_cold || old.is_draining != new.is_draining || old.slots != new.slots {
        true => Change::Updated,
        false => Change::None,
    }
}
