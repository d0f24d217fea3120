//! Links of this host to targets, as far as they are lost.
//!
//! A link is lost if this host can't open a connection to a target that another host reaches.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::name;

use crate::registration::Incarnation;

/// Lost links to targets of a service from which the links to its other targets count as lost too,
/// unless they have answered since.
const MIN_LOST: usize = 2;

/// What other hosts say about a target to which this host can't connect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Survey {
    /// Hosts that reach it.
    pub reached: u32,
    /// Hosts whose connections it refuses, this one included.
    pub refused: u32,
    /// Hosts other than this one that know whether they reach it.
    pub answered: u32,
    /// Hosts that were asked.
    pub asked: u32,
}

/// What follows from a survey.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// This host has lost its link to the target.
    Lost,
    /// The target has ended: it refuses all that know.
    Ended,
    /// Nothing is known.
    Open,
}

impl Survey {
    /// Returns what follows.
    pub fn verdict(self) -> Verdict {
        let has_other_view = self.answered > 0 || self.asked == 0;
        match self.reached > 0 {
            true => Verdict::Lost,
            false if self.refused > 0 && has_other_view => Verdict::Ended,
            false => Verdict::Open,
        }
    }
}

/// Lost links of this host.
#[derive(Clone, Debug, Default)]
pub struct Links {
    lost: BTreeMap<name::Service, BTreeSet<Incarnation>>,
    /// Services of which all links count as lost.
    services: BTreeSet<name::Service>,
}

impl Links {
    /// Records a lost link. `has_answered` tells whether a target of the service has answered since
    /// the first link was lost. Returns false if it was known.
    pub fn record_lost(
        &mut self,
        service: &name::Service,
        target: &Incarnation,
        has_answered: bool,
    ) -> bool {
        let lost = self.lost.entry(service.clone()).or_default();
        let is_new = lost.insert(target.clone());
        if lost.len() >= MIN_LOST && !has_answered {
            self.services.insert(service.clone());
        }
        is_new
    }

    /// Records that this host reaches a target. The links to others of its service are only lost if
    /// each is known to be. Returns whether the link was lost.
    pub fn record_reached(&mut self, service: &name::Service, target: &Incarnation) -> bool {
        let was_assumed = self.services.remove(service);
        let Some(lost) = self.lost.get_mut(service) else {
            return was_assumed;
        };
        let was_known = lost.remove(target);
        if lost.is_empty() {
            self.lost.remove(service);
        }
        was_known || was_assumed
    }

    /// Forgets targets that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&Incarnation) -> bool) {
        for lost in self.lost.values_mut() {
            lost.retain(&is_registered);
        }
        self.lost.retain(|_, lost| !lost.is_empty());
        let lost = &self.lost;
        self.services.retain(|service| lost.contains_key(service));
    }

    /// Tells whether the link to a target is lost.
    pub fn is_lost(&self, service: &name::Service, target: &Incarnation) -> bool {
        let is_known = |lost: &BTreeSet<Incarnation>| lost.contains(target);
        self.services.contains(service) || self.lost.get(service).is_some_and(is_known)
    }

    /// Tells whether no link is lost.
    pub fn is_empty(&self) -> bool {
        self.lost.is_empty()
    }

    /// Returns the targets whose links are known to be lost, with their services.
    pub fn lost(&self) -> impl Iterator<Item = (&name::Service, &Incarnation)> {
        let all = self.lost.iter();
        all.flat_map(|(service, lost)| lost.iter().map(move |target| (service, target)))
    }
}
