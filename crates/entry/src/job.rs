//! A request together with its routing decision.

use std::rc::Rc;

use bytes::Bytes;
use ragwortrill_core::{
    name,
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{
    config::{Config, Lookup, Rule},
    registration::Incarnation,
};
use rand::RngExt;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    activity::Guard,
    body, crash,
    message::Request,
    presence::Presence,
    reply::{Problem, RETRY_AFTER_ABSENT_MS, RETRY_AFTER_BUSY_MS},
    route::Route,
    shared::Shared,
};

/// Time before the caller's deadline at which the reply is sent at the latest.
const REPLY_MARGIN: Span = Span::from_millis(15);

/// A request as received from a caller.
pub(crate) struct Incoming {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    /// Memory that the body takes until the request ends.
    pub(crate) _reservation: body::Reservation,
    /// Earliest time at which the first byte can have arrived.
    pub(crate) received: Instant,
    /// A request that is not idempotent stays in the register until it ends, even if its caller
    /// leaves.
    pub(crate) activity: Rc<Guard>,
    pub(crate) caller: Presence,
    /// Whether another host forwarded the request.
    pub(crate) is_forwarded: bool,
}

/// A request with its rule, service and deadline, and the state of its attempts.
pub(crate) struct Job {
    pub(crate) incoming: Incoming,
    pub(crate) config: Rc<Config>,
    pub(crate) rule: Rule,
    pub(crate) service: name::Service,
    pub(crate) id: String,
    /// Hash of method, target, body and authority. Requests with the same hash count as the same
    /// work.
    pub(crate) fingerprint: Fingerprint,
    /// Key of the request, if the service is partitioned.
    pub(crate) key: Option<u16>,
    pub(crate) deadline: Instant,
    /// Targets of earlier attempts.
    pub(crate) tried: Vec<Incarnation>,
    /// Numbers of the connections that earlier attempts left open.
    pub(crate) carried_by: Vec<u64>,
    pub(crate) may_have_run: bool,
    /// If a target answered that it does not hold the key: the epoch of the range by which it was
    /// selected, and the time of the answer.
    pub(crate) misdirected: Option<(u64, Instant)>,
}

impl Job {
    /// Determines the rule, service, key and deadline of a request.
    pub(crate) fn prepare(shared: &Shared, incoming: Incoming) -> Result<Self, Problem> {
        let Some(config) = shared.config.borrow().clone() else {
            return Err(Problem::refusal(
                "no configuration is known yet",
                RETRY_AFTER_ABSENT_MS,
            ));
        };
        let head = &incoming.head;
        let headers = &shared.protocol.headers;
        let (authority, path) =
            locate(head).ok_or(Problem::new(400, "the request names no host"))?;
        let rule = match config.lookup(&authority, &path) {
            Lookup::Found(rule) => Some(rule),
            Lookup::Missing => None,
        };
        let stated = Route::read(&head.headers).filter(|_| incoming.is_forwarded);
        let rule = match &stated {
            Some(route) => route.check(&config, rule)?,
            None => rule.ok_or(Problem::new(404, "no route matches"))?,
        };
        let rule = rule.clone();
        let id = head
            .headers
            .get(headers.request_id)
            .unwrap_or_default()
            .to_owned();
        if id.is_empty() {
            return Err(Problem::new(400, "the request has no id"));
        }
        let requested = head.headers.get(headers.deadline);
        let requested = requested
            .and_then(|text| text.trim().parse().ok())
            .map(Span::from_millis);
        let timeout = requested.map_or(rule.timeout, |requested| requested.min(rule.timeout));
        let service = match stated {
            Some(route) => route.service,
            None => choose_service(shared, &rule)?,
        };
        let is_partitioned = config
            .services
            .get(&service)
            .is_some_and(|s| s.is_partitioned);
        let key = match is_partitioned {
            true => {
                let key = head
                    .headers
                    .get(headers.key)
                    .and_then(|text| text.trim().parse().ok());
                Some(key.ok_or(Problem::new(400, "the request has no key"))?)
            }
            false => None,
        };
        let fingerprint = fingerprint(&incoming, &authority);
        if let Some(problem) = crash::refusal(shared, fingerprint) {
            return Err(problem);
        }
        let deadline = incoming.received + (timeout - REPLY_MARGIN);
        if deadline <= shared.now() {
            return Err(Problem::refusal("no time is left", RETRY_AFTER_BUSY_MS));
        }
        Ok(Self {
            deadline,
            incoming,
            rule,
            service,
            id,
            fingerprint,
            key,
            config,
            tried: Vec::new(),
            carried_by: Vec::new(),
            may_have_run: false,
            misdirected: None,
        })
    }
}

impl Job {
    /// Returns whether the caller has left, so that the request is not to be sent.
    pub(crate) fn is_abandoned(&self, now: Instant) -> bool {
        self.incoming.caller.has_left(self.incoming.received, now)
    }
}

/// Chooses one of the services of a rule by their weights.
fn choose_service(shared: &Shared, rule: &Rule) -> Result<name::Service, Problem> {
    let total = rule.total_weight().max(1);
    let number = shared.random.borrow_mut().random_range(0..total);
    let service = rule.destination(number).cloned();
    service.ok_or(Problem::refusal(
        "the route has no service",
        RETRY_AFTER_ABSENT_MS,
    ))
}

fn fingerprint(incoming: &Incoming, authority: &str) -> Fingerprint {
    let head = &incoming.head;
    let mut hash = Xxh3::new();
    for part in [&head.method, &head.target, &incoming.body] {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.update(authority.as_bytes());
    Fingerprint(hash.digest())
}

/// Returns the authority in lower case without port, and the path without query.
fn locate(head: &Request) -> Option<(String, String)> {
    let target = std::str::from_utf8(&head.target).ok()?;
    let (authority, path) = match target.strip_prefix("http://") {
        Some(rest) => rest.split_once('/').map(|(a, p)| (a, format!("/{p}")))?,
        None => (head.headers.get("host")?, target.to_owned()),
    };
    if head.headers.count("host") != 1 {
        return None;
    }
    let authority = authority
        .rsplit_once(':')
        .map_or(authority, |(host, _)| host);
    let path = path.split_once('?').map_or(path.as_str(), |(path, _)| path);
    Some((authority.trim().to_ascii_lowercase(), path.to_owned()))
}
