//! The system under test and what callers need to use it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
};

use anyhow::Result;
use ragwortrill_core::{name, time::Span};
use ragwortrill_standin::target;

use super::{Plan, replica::Replica};
use crate::harness::{self, Builder, System, row};

/// Services of the run: lookups and downloads, and orders.
pub const SERVICES: [&str; 2] = ["lookup", "orders"];

/// Number of keys of each service.
pub const KEYS: usize = 60;

/// Targets of each service.
const TARGETS: usize = 6;

/// Time that a target takes to run a request.
const SERVICE_TIME: Span = Span::from_millis(1);

/// Addresses, counters and log state that all callers share.
pub struct Environment {
    /// Addresses of the daemons.
    pub daemons: Vec<SocketAddr>,
    /// A target outside of the system, as a baseline for latencies.
    pub reference: target::Server,
    /// Number of requests sent.
    pub sent: AtomicU64,
    /// Addresses of the system's targets.
    pub targets: BTreeMap<name::Target, SocketAddr>,
    /// State of the log, independent of the daemons.
    pub replica: Arc<Replica>,
}

/// Returns the text of a key.
pub fn key(number: usize) -> String {
    format!("key-{number}")
}

/// Starts the system with all its stand-ins.
pub fn start(plan: &Plan) -> Result<(System, Environment)> {
    let settings = target::Settings {
        service_time: SERVICE_TIME,
        ..target::Settings::default()
    };
    let reference = target::Settings {
        checks_epoch: false,
        ..settings.clone()
    };
    let reference = target::Server::start(harness::name("reference"), reference)?;
    let builder = Builder::new().daemons(plan.daemons).target(settings);
    let builder = SERVICES.iter().fold(builder, |builder, service| {
        builder.service(service, row(true), TARGETS)
    });
    let system = builder.start();
    let replica = Arc::new(Replica::new(system.log.clone()));
    for (name, server) in &system.targets {
        let (replica, service) = (replica.clone(), service(name));
        server.set_owner(move |key| replica.owner(&service, key));
    }
    let addresses =
        |(name, server): (&name::Target, &target::Server)| (name.clone(), server.address());
    let environment = Environment {
        daemons: (0..plan.daemons).map(|n| system.address(n)).collect(),
        reference,
        sent: AtomicU64::new(0),
        targets: system.targets.iter().map(addresses).collect(),
        replica,
    };
    Ok((system, environment))
}

/// Returns the service of a target. The harness names targets after their service.
pub fn service(target: &name::Target) -> name::Service {
    let text = target.to_string();
    let service = text.rsplit_once('-').map_or(text.as_str(), |parts| parts.0);
    harness::name(service)
}
