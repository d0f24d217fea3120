//! The operators' configuration: routes, services and limits on callers.

use std::collections::BTreeMap;

use ragwortrill_core::{name, number::Version, time::Span};

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version; a later one is greater.
    pub version: Version,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Rules by the authority of a request, without port, in lower case.
    pub routes: BTreeMap<String, Vec<Rule>>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Limits until the first configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// How a request may be treated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run more than once and has a large answer.
    Download,
    /// May run once at most.
    Single,
}

impl Kind {
    /// Tells whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Single
    }
}

/// Where requests of a path go.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name, for logs.
    pub name: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Time in which callers want the answer.
    pub objective: Span,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Span,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// Services that share the requests.
    pub destinations: Vec<Destination>,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Name of the service.
    pub service: name::Service,
    /// Share, relative to the sum over all destinations of the rule.
    pub weight: u32,
}

/// A service and what its targets bear.
#[derive(Clone, Debug)]
pub struct Service {
    /// Path of the health endpoint.
    pub health_path: String,
    /// Most connections that a target accepts from all hosts.
    pub connections: u32,
    /// Time for which a target is cold after its start.
    pub cold_start: Span,
    /// Requests per second that a cold target bears.
    pub cold_rate: f64,
    /// Whether targets own keys.
    pub is_partitioned: bool,
}

/// Where a request belongs.
#[derive(Clone, Copy, Debug)]
pub enum Lookup<'a> {
    /// The rule with the longest prefix.
    Found(&'a Rule),
    /// No rule matches.
    Missing,
}

impl Config {
    /// Finds the rule for a request. `path` has no query.
    pub fn lookup(&self, authority: &str, path: &str) -> Lookup<'_> {
        let rules = self.routes.get(authority).map_or(&[][..], Vec::as_slice);
        let matching = rules.iter().filter(|rule| path.starts_with(&rule.prefix));
        match matching.max_by_key(|rule| rule.prefix.len()) {
            Some(rule) => Lookup::Found(rule),
            None => Lookup::Missing,
        }
    }
}

impl Rule {
    /// Returns the service for a draw from 0 up to the sum of the weights.
    pub fn destination(&self, mut draw: u32) -> Option<&name::Service> {
        for destination in &self.destinations {
            if draw < destination.weight {
                return Some(&destination.service);
            }
            draw -= destination.weight;
        }
        None
    }

    /// Returns the sum of the weights.
    pub fn total_weight(&self) -> u32 {
        self.destinations.iter().map(|d| d.weight).sum()
    }
}
