//! Which host reports to which, and gets the store's records from it.
//!
//! Up to a number of hosts, all report to the leader. Beyond it, the strongest hosts of each data centre
//! relay between the leader and the others there, so that the work of no host grows with the number of
//! all hosts. Each host derives the tree from the list of hosts alone.

use std::{cmp::Reverse, collections::BTreeMap};

use ragwortrill_core::{name, placement};

/// Sizes of the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Number of hosts up to which all report to the leader.
    pub direct_hosts: usize,
    /// Number of hosts that report to one relay. With so many hosts that the leader would have more
    /// relays than that, it grows with their square root.
    pub reporters: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            direct_hosts: 100,
            reporters: 50,
        }
    }
}

/// Hosts beyond the relays of a data centre that replace relays which do not answer.
const SPARE_RELAYS: usize = 3;

/// What a host is chosen by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host, if it is known.
    pub data_centre: Option<name::DataCentre>,
    /// Available processor time, in percent of a core.
    pub processor_percent: u32,
    /// Bandwidth of the host's link in megabits a second; 0 if it is unknown.
    pub link_mbps: u32,
}

/// Part of a host in the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reports to the leader, and no other host reports to it.
    Direct,
    /// It reports to the leader, and hosts of its data centre report to it.
    Relay,
    /// It reports to a relay.
    Leaf,
}

/// Host to which a host reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parent<'a> {
    /// The host that leads.
    Leader,
    /// A relay.
    Relay(&'a str),
}

/// The relays of all data centres.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    groups: Vec<Group>,
    /// Places of the hosts; empty without relays.
    places: BTreeMap<String, Place>,
    hosts: usize,
}

/// The relays of a data centre.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Relays, then the hosts that replace them, the strongest first.
    ranked: Vec<String>,
    relays: usize,
    leaves: usize,
}

/// Place of a host in the tree.
#[derive(Clone, Copy, Debug)]
struct Place {
    group: usize,
    is_relay: bool,
}

impl Tree {
    /// Builds the tree of a list of hosts.
    pub fn new(candidates: Vec<Candidate>, limits: Limits) -> Self {
        let mut tree = Self {
            hosts: candidates.len(),
            ..Self::default()
        };
        if tree.hosts <= limits.direct_hosts {
            return tree;
        }
        let reporters = limits.reporters.max(tree.hosts.isqrt());
        let mut by_data_centre: BTreeMap<_, Vec<Candidate>> = BTreeMap::new();
        for candidate in candidates {
            let group = by_data_centre.entry(candidate.data_centre.clone());
            group.or_default().push(candidate);
        }
        for candidates in by_data_centre.into_values() {
            tree.add_group(candidates, reporters);
        }
        tree
    }

    fn add_group(&mut self, mut candidates: Vec<Candidate>, reporters: usize) {
        candidates.sort_by_key(|candidate| {
            let strength = (candidate.processor_percent, candidate.link_mbps);
            (Reverse(strength), candidate.host.clone())
        });
        let relays = candidates.len().div_ceil(reporters.max(1));
        let ranked = candidates.iter().take(relays + SPARE_RELAYS);
        let group = Group {
            ranked: ranked.map(|candidate| candidate.host.clone()).collect(),
            relays,
            leaves: candidates.len() - relays,
        };
        for (index, candidate) in candidates.into_iter().enumerate() {
            let place = Place {
                group: self.groups.len(),
                is_relay: index < relays,
            };
            self.places.insert(candidate.host, place);
        }
        self.groups.push(group);
    }

    /// Returns whether relays stand between the leader and the other hosts.
    pub fn has_relays(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Returns the part of a host. One that is not in the list reports to the leader.
    pub fn role(&self, host: &str) -> Role {
        match self.places.get(host) {
            None => Role::Direct,
            Some(place) if place.is_relay => Role::Relay,
            Some(_) => Role::Leaf,
        }
    }

    /// Returns the relays of all data centres.
    pub fn relays(&self) -> impl Iterator<Item = &str> {
        let all = self.groups.iter().flat_map(Group::relays);
        all.map(String::as_str)
    }

    /// Returns the relays of the data centre of a host.
    pub fn relays_of(&self, host: &str) -> impl Iterator<Item = &str> {
        let place = self.places.get(host);
        let relays = place.map_or(&[][..], |place| self.groups[place.group].relays());
        relays.iter().map(String::as_str)
    }

    /// Returns the host to which a host reports while some do not answer. A host that replaces a relay
    /// reports to a stronger host only, so that no two hosts report to each other.
    pub fn parent(&self, host: &str, is_lost: impl Fn(&str) -> bool) -> Parent<'_> {
        let place = self.places.get(host);
        let Some(place) = place.filter(|place| !place.is_relay) else {
            return Parent::Leader;
        };
        let group = &self.groups[place.group];
        let stronger = group.ranked.iter().take_while(|other| *other != host);
        let answering = stronger
            .map(String::as_str)
            .filter(|other| !is_lost(other))
            .take(group.relays);
        // A host that comes or goes must not make the others change their relays.
        let preferred = placement::rank(host, answering);
        preferred
            .first()
            .map_or(Parent::Leader, |relay| Parent::Relay(relay))
    }

    /// Returns the number of hosts that report to a host, if all hosts answer.
    pub fn reporters(&self, host: &str, is_leader: bool) -> usize {
        let place = self.places.get(host).filter(|place| place.is_relay);
        let leaves = place.map_or(0, |place| self.groups[place.group].reporters());
        match (is_leader, self.has_relays()) {
            (true, false) => self.hosts,
            (true, true) => self.relays().count() + leaves,
            (false, _) => leaves,
        }
    }
}

impl Group {
    fn relays(&self) -> &[String] {
        &self.ranked[..self.relays]
    }

    /// Returns the number of hosts that report to each relay on average.
    fn reporters(&self) -> usize {
        self.leaves.div_ceil(self.relays)
    }
}
