//! Operators' table: data centres, services and targets, with weights and limits.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{name, time::Span};

/// Operators' table of data centres and services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Region of each data centre.
    pub data_centres: BTreeMap<name::DataCentre, name::Region>,
    /// Row of each service.
    pub services: BTreeMap<name::Service, Service>,
}

/// Row of a service, with its limits and targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Row of each target. A target's name is unique in the whole table.
    pub targets: BTreeMap<name::Target, Target>,
    /// Maximum number of requests that run on a target at the same time.
    pub slots: u32,
    /// Maximum number of connections that a target accepts.
    pub connections: u32,
    /// Maximum number of requests that wait for a target.
    pub queue: u32,
    /// Maximum time from the arrival of a request to the end of its answer's head.
    pub deadline: Span,
    /// True if each key is owned by one target, false if any target serves any key.
    pub divided_by_key: bool,
    /// Number of slices of the hashed key space, which is fixed once the service exists.
    pub slices: u32,
    /// HTTP methods, in upper case, whose requests may run more than once.
    pub idempotent_methods: BTreeSet<String>,
    /// Allowed retries, in per cent of requests.
    pub retry_percent: u32,
    /// Minimum time in which the limit of a cold target grows from 1 to its slots.
    pub slow_start: Span,
    /// Percentage of slots reserved for non-idempotent requests.
    pub reserved_percent: u32,
    /// Time for which a request id is remembered.
    pub id_window: Span,
    /// Maximum number of slices and keys that move between the service's targets per minute, apart
    /// from moves off targets that are taken out or lost.
    pub moves_per_minute: u32,
    /// Load from which a key may be placed apart from its slice, in per cent of a target's mean load.
    pub hot_key_percent: u32,
}

/// Row of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address at which the target serves HTTP requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: name::DataCentre,
    /// Share of the service's slices, relative to the weights of the other targets.
    pub weight: u32,
    /// True if the target refuses requests with a lower epoch than the highest that it has seen.
    pub checks_epoch: bool,
}

impl Table {
    /// Finds a target by name, with the name and row of its service.
    pub fn target(&self, name: &name::Target) -> Option<(&name::Service, &Service, &Target)> {
        self.services.iter().find_map(|(service, row)| {
            let target = row.targets.get(name)?;
            Some((service, row, target))
        })
    }
}
