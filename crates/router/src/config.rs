//! Configuration set by operators: routes, services and limits on callers.

use std::collections::BTreeMap;

use ragwortrill_core::{name, number::Version, time::Span};

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version, which increases with every change.
    pub version: Version,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Rules by the authority of the request, in lower case and without port.
    pub routes: BTreeMap<String, Vec<Rule>>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time until a request's head has arrived.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration is read.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// Kind of a request: whether it may run more than once, and whether its answer is large.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run more than once and has a large answer.
    Download,
    /// The request may run at most once.
    Single,
}

impl Kind {
    /// Tells whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Single
    }
}

/// Routing rule for requests whose path has a prefix.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name of the rule, for logs.
    pub name: String,
    /// Prefix of the path. It starts and ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Response time that callers expect.
    pub objective: Span,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum time until a caller gets an answer.
    pub timeout: Span,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Services among which the requests are divided.
    pub destinations: Vec<Destination>,
}

/// A service that receives a share of a rule's requests.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Name of the service.
    pub service: name::Service,
    /// Weight of the service, relative to the total of all destinations of the rule.
    pub weight: u32,
}

/// A service and the limits of its targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Path of the targets' health endpoint.
    pub health_path: String,
    /// Maximum number of connections that a target accepts from all hosts together.
    pub connections: u32,
    /// Time for which a target is cold after its start.
    pub cold_start: Span,
    /// Requests per second that a cold target can serve.
    pub cold_rate: f64,
    /// Whether each key of the service is owned by one target.
    pub is_partitioned: bool,
}

/// Result of the search for a request's rule.
#[derive(Clone, Copy, Debug)]
pub enum Lookup<'a> {
    /// Rule with the longest matching prefix.
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
    /// Returns the service for a random number from 0 up to, but excluding, the sum of the weights.
    pub fn destination(&self, mut number: u64) -> Option<&name::Service> {
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if number < weight {
                return Some(&destination.service);
            }
            number -= weight;
        }
        None
    }

    /// Tells whether requests may go to a service.
    pub fn allows(&self, service: &name::Service) -> bool {
        let mut used = self.destinations.iter().filter(|d| d.weight > 0);
        used.any(|destination| &destination.service == service)
    }

    /// Returns the sum of the weights of all destinations.
    pub fn total_weight(&self) -> u64 {
        self.destinations.iter().map(|d| u64::from(d.weight)).sum()
    }
}
