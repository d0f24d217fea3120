//! The operators' table: one row per service, with weights and limits.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{name, time::Span};

/// The operators' table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Data centres and the region that each is in.
    pub data_centres: BTreeMap<name::DataCentre, name::Region>,
    /// Rows by service.
    pub services: BTreeMap<name::Service, Service>,
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Targets by name. A target's name is unique in the whole table.
    pub targets: BTreeMap<name::Target, Target>,
    /// Requests that a target runs at the same time.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that may wait for a target.
    pub queue: u32,
    /// Longest time from a request's arrival to the end of its answer's head.
    pub deadline: Span,
    /// True if each key belongs to one target; false if any target serves any key.
    pub divided_by_key: bool,
    /// Number of slices of the hashed key space. Fixed when the service is first added.
    pub slices: u32,
    /// Methods that may run more than once, in upper case.
    pub idempotent_methods: BTreeSet<String>,
    /// Retries allowed, in per cent of requests.
    pub retry_percent: u32,
    /// Time in which a cold target's limit grows from 1 to its slots.
    pub slow_start: Span,
    /// Slots kept for non-idempotent requests, in per cent.
    pub reserved_percent: u32,
    /// Time for which a request id is remembered.
    pub id_window: Span,
    /// Most slices that may move away from the service's targets in a minute.
    pub moves_per_minute: u32,
    /// Share of a target's load, in per cent, from which a key is placed on its own.
    pub hot_key_percent: u32,
}

/// A target in a row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address that serves requests by HTTP.
    pub address: SocketAddr,
    /// Data centre that the target is in.
    pub data_centre: name::DataCentre,
    /// Share of the service's slices, relative to the other targets.
    pub weight: u32,
    /// True if the target refuses requests that have an epoch below the highest it has seen.
    pub checks_epoch: bool,
}

impl Table {
    /// Finds a target and its service by the target's name.
    pub fn target(&self, name: &name::Target) -> Option<(&name::Service, &Service, &Target)> {
        self.services.iter().find_map(|(service, row)| {
            let target = row.targets.get(name)?;
            Some((service, row, target))
        })
    }
}
