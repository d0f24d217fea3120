//! How a host has routed a request that it forwards, as it states it to the other host.
//!
//! The statement is in headers that the `Connection` header names, so that no host sends them on to a
//! target.

use ragwortrill_core::{name, number::Version};
use ragwortrill_router::config::{Config, Rule};

use crate::{exchange::ExtraHeader, job::Job, message::Headers, reply::Problem};

/// Header with the version of the configuration by which a request was routed.
const CONFIG_HEADER: &str = "Ragwortrill-Configuration";
/// Header with the service to which a request was routed.
const SERVICE_HEADER: &str = "Ragwortrill-Service";
/// Value of the `Connection` header that names both.
const CONNECTION: &str = "Ragwortrill-Configuration, Ragwortrill-Service";
/// Bytes by which the headers of a forwarding host can lengthen a request's head.
pub(crate) const MAX_HEADER_BYTES: usize = 512;
/// Status with which a host rejects a request that was routed by a newer configuration than its own.
const OUTDATED: u16 = 412;
/// Status with which a host rejects a request that its newer configuration routes otherwise.
pub(crate) const ROUTED_OTHERWISE: u16 = 409;

/// The configuration by which a request was routed, and its service.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    config: Version,
    pub(crate) service: name::Service,
}

impl Route {
    /// Reads the statement of a forwarding host. Hosts of the earlier release state nothing.
    pub(crate) fn read(headers: &Headers) -> Option<Self> {
        Some(Self {
            config: headers.get(CONFIG_HEADER)?.trim().parse().ok()?,
            service: headers.get(SERVICE_HEADER)?.trim().parse().ok()?,
        })
    }

    /// Returns the request's rule in a configuration, if that may run the request as it was routed.
    pub(crate) fn check<'a>(
        &self,
        config: &Config,
        rule: Option<&'a Rule>,
    ) -> Result<&'a Rule, Problem> {
        if config.version < self.config {
            let reason = "this host does not know the configuration of the forwarding host yet";
            return Err(Problem::new(OUTDATED, reason));
        }
        let rule = rule.filter(|rule| rule.allows(&self.service));
        rule.ok_or(Problem::new(
            ROUTED_OTHERWISE,
            "this host's newer configuration routes the request otherwise",
        ))
    }
}

/// Returns the headers that state how a request was routed. `config` is the text of its version.
pub(crate) fn headers<'a>(job: &'a Job, config: &'a str) -> [ExtraHeader<'a>; 3] {
    [
        ExtraHeader {
            name: CONFIG_HEADER,
            value: config,
        },
        ExtraHeader {
            name: SERVICE_HEADER,
            value: job.service.as_str(),
        },
        ExtraHeader {
            name: "Connection",
            value: CONNECTION,
        },
    ]
}
