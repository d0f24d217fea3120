//! Rules that involve several fields or rows.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{row::Row, suggest};
use crate::{name, time::Span};

/// Checks rows against each other, with the names and addresses of the earlier rows.
pub(crate) struct Checker<'a> {
    data_centres: &'a BTreeSet<name::DataCentre>,
    targets: BTreeMap<name::Target, String>,
    addresses: BTreeMap<SocketAddr, String>,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(data_centres: &'a BTreeSet<name::DataCentre>) -> Self {
        Self {
            data_centres,
            targets: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Requires at least as many connections as slots. Each running request needs a connection, so
    /// slots without one would stay idle.
    pub(crate) fn connections(&self, row: &Row, slots: Option<u32>, connections: Option<u32>) {
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            let range = format!("at least the {slots} of slots");
            let remedy = "raise connections or lower slots";
            row.reject("connections", &connections.to_string(), &range, remedy);
        }
    }

    /// Requires an id window no shorter than the deadline. If the id of a running request were
    /// forgotten, a repetition of the request would run again.
    pub(crate) fn window(&self, row: &Row, deadline: Option<Span>, window: Option<Span>) {
        if let (Some(deadline), Some(window)) = (deadline, window)
            && window < deadline
        {
            let range = format!("at least the deadline of {deadline}");
            let remedy = "raise id_window or lower the deadline";
            row.reject("id_window", &format!("\"{window}\""), &range, remedy);
        }
    }

    /// Requires a target with a weight above 0, since no other could own the service's slices.
    pub(crate) fn weights(&self, row: &Row, weights: &[Option<u32>]) {
        if weights.iter().any(|weight| *weight != Some(0)) {
            return;
        }
        let value = match weights.is_empty() {
            true => "no target",
            false => "weights that sum to 0",
        };
        let remedy = "add a target or raise a weight";
        let range = "at least one target with a weight above 0";
        row.reject("targets", value, range, remedy);
    }

    /// Requires unique target names, since contracts and commands name a target without its service.
    pub(crate) fn target_name(&mut self, row: &Row, name: &name::Target) {
        let path = row.path("name");
        match self.targets.get(name) {
            // Repeated names within one list are reported when the list is read.
            Some(first) if service(first) == service(&path) => {}
            Some(first) => {
                let remedy = format!("rename one of them; {first} is the other");
                let range = "a name unique among the targets of all services";
                row.reject("name", &format!("\"{name}\""), range, &remedy);
            }
            None => {
                self.targets.insert(name.clone(), path);
            }
        }
    }

    /// Requires a valid, unique address. Two targets at one address would count its slots twice.
    pub(crate) fn address(&mut self, row: &Row, address: SocketAddr) -> bool {
        let value = format!("\"{address}\"");
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let range = "the address of one host with a port from 1 to 65535";
            row.reject(
                "address",
                &value,
                range,
                "write where the target accepts requests",
            );
            return false;
        }
        let path = row.path("address");
        match self.addresses.get(&address) {
            Some(first) => {
                let remedy = format!("correct one of them; {first} is the other");
                row.reject(
                    "address",
                    &value,
                    "an address that no other target has",
                    &remedy,
                );
                false
            }
            None => self.addresses.insert(address, path).is_none(),
        }
    }

    pub(crate) fn data_centre(&self, row: &Row, name: &name::DataCentre) -> bool {
        if self.data_centres.contains(name) {
            return true;
        }
        let known: Vec<&str> = self
            .data_centres
            .iter()
            .map(name::DataCentre::as_str)
            .collect();
        let range = match known.is_empty() {
            true => "a row of data_centres".to_owned(),
            false => format!("one of {}", known.join(", ")),
        };
        let remedy = match suggest(name.as_str(), known) {
            Some(near) => format!("did you mean {near:?}?"),
            None => "add a row to data_centres or name another".to_owned(),
        };
        row.reject("data_centre", &format!("\"{name}\""), &range, &remedy);
        false
    }
}

fn service(path: &str) -> &str {
    path.split(".targets[").next().unwrap_or(path)
}
