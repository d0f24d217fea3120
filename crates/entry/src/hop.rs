//! Forwarding of requests through another host that reaches targets to which this host has lost its
//! links.
//!
//! The other host handles a forwarded request like one of a caller, and never forwards it again. It
//! sends it only to the service to which this host routed it.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{registration::Incarnation, retry::Outcome};
use rand::seq::SliceRandom;

use crate::{
    activity::Stage,
    attempt::{self, Attempt},
    connection::Connection,
    exchange::{self, ExtraHeader},
    job::Job,
    leaving,
    message::{self, Framing},
    reach,
    reply::{Remainder, Reply},
    route::{self, ROUTED_OTHERWISE},
    search::Criteria,
    shared::Shared,
    survey,
};

/// Timeout of a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a host counts as a helper after it reached a target.
const HELPER_TTL: Span = Span::from_millis(3_000);
/// Time for which no request is forwarded to a host that could not be reached, and for which one that
/// refused a request comes after others.
const BACKOFF: Span = Span::from_millis(200);
/// Hosts that a request is offered to until one does not refuse it.
const MAX_OFFERS: usize = 3;
/// The same for hosts that refused a request a short time ago. Offers to hosts that have no room for any
/// request must not add to their load.
const MAX_REFUSING_OFFERS: usize = 1;

/// A host that reaches targets to which this host has lost its links.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Helper {
    /// When it reached a target last.
    reached_at: Instant,
    /// Until when it gets no requests, since it could not be reached.
    paused_until: Instant,
    /// Until when others are preferred, since it refused a request. The refusal may concern that request
    /// alone, such as one whose key has no owner.
    avoided_until: Instant,
    /// Requests of this host that it handles.
    in_flight: u32,
}

/// Records that a host reaches targets.
pub(crate) fn add_helper(shared: &Shared, host: &str) {
    let mut helpers = shared.helpers.borrow_mut();
    helpers.entry(host.to_owned()).or_default().reached_at = shared.now();
}

/// Returns whether a request can only get to a target through another host.
///
/// While some links are lost, the link to a target that waits for its first survey may be lost too. A
/// request that was forwarded already waits for the survey, since it can't be forwarded again.
pub(crate) fn is_needed(shared: &Shared, criteria: &Criteria, is_forwarded: bool) -> bool {
    let links = shared.links.borrow();
    if links.is_empty() {
        return false;
    }
    let is_lost = |target: &Incarnation| {
        let is_open = !is_forwarded && reach::is_unreached(shared, target);
        links.is_lost(&criteria.service, target)
            || is_open && reach::may_be_lost(shared, &criteria.service, target)
    };
    if let Some(key) = criteria.key {
        let assignments = shared.assignments.borrow();
        let range = assignments
            .get(&criteria.service)
            .and_then(|assignment| assignment.range(key));
        return range.is_some_and(|range| is_lost(&range.owner));
    }
    let fleet = shared.fleet.borrow();
    let mut serving = fleet.serving(&criteria.service).peekable();
    serving.peek().is_some() && serving.all(|target| is_lost(&target.registration.incarnation))
}

/// A host that a request may be forwarded to.
struct Candidate {
    host: String,
    address: SocketAddr,
    /// Whether it refused a request a short time ago.
    is_avoided: bool,
}

/// Returns the hosts that a request may be forwarded to, the best first: those that refused none a
/// short time ago, among them those of the own data centre, and then those that handle the fewest
/// requests of this host.
fn candidates(shared: &Shared) -> Vec<Candidate> {
    let now = shared.now();
    let helpers = shared.helpers.borrow();
    let hosts = shared.hosts.borrow();
    let own = shared.settings.borrow().data_centre.clone();
    let is_settled = is_settled(shared, now);
    let usable = helpers.iter().filter(|(_, helper)| {
        now.since(helper.reached_at) < HELPER_TTL && now >= helper.paused_until
    });
    let mut usable: Vec<_> = usable
        .filter_map(|(name, helper)| {
            let host = hosts.get(name)?;
            if !host.compares_routes && !is_settled {
                return None;
            }
            let is_avoided = now < helper.avoided_until;
            let is_remote = host.data_centre.as_ref() != Some(&own);
            let rank = (is_avoided, is_remote, helper.in_flight);
            let candidate = Candidate {
                host: name.clone(),
                address: host.forwards?,
                is_avoided,
            };
            Some((rank, candidate))
        })
        .collect();
    usable.shuffle(&mut *shared.random.borrow_mut());
    usable.sort_by_key(|(rank, _)| *rank);
    let mut refusing = 0;
    let candidates = usable.into_iter().map(|(_, candidate)| candidate);
    let offered = candidates.filter(|candidate| {
        refusing += usize::from(candidate.is_avoided);
        !candidate.is_avoided || refusing <= MAX_REFUSING_OFFERS
    });
    offered.take(MAX_OFFERS).collect()
}

/// Returns whether the configuration of this host must be in force at all others. Before, a host that
/// compares no routes, since it is of the earlier release, may run a request by an older one.
fn is_settled(shared: &Shared, now: Instant) -> bool {
    let bound = shared.settings.borrow().bounds.config_apply;
    now.since(shared.configured_at.get()) >= bound
}

/// Counts a request as handled by a helper until it is dropped.
struct InFlight<'a> {
    shared: &'a Shared,
    host: String,
}

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared, host: &str) -> Self {
        let this = Self {
            shared,
            host: host.to_owned(),
        };
        this.update(|helper| helper.in_flight += 1);
        this
    }

    fn update(&self, change: impl FnOnce(&mut Helper)) {
        let mut helpers = self.shared.helpers.borrow_mut();
        if let Some(helper) = helpers.get_mut(&self.host) {
            change(helper);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.update(|helper| helper.in_flight = helper.in_flight.saturating_sub(1));
    }
}

/// Sends a request through another host. An outcome other than `Unknown` without a reply states that
/// the request has not run.
///
/// If no host is known but one that refused a request a short time ago, and it refuses this one too,
/// others are searched.
pub(crate) async fn send(shared: &Rc<Shared>, job: &Job) -> Attempt {
    let mut last = Attempt::failed(Outcome::NotSent, "no host reaches the target".to_owned());
    let mut offered = BTreeSet::new();
    let mut hosts = candidates(shared);
    let mut may_search = hosts.iter().all(|candidate| candidate.is_avoided);
    loop {
        for Candidate { host, address, .. } in hosts {
            let attempt = offer(shared, job, &host, address).await;
            let is_refused = matches!(attempt.outcome, Outcome::NotSent | Outcome::NotRun);
            last = attempt;
            if !is_refused || job.is_abandoned(shared.now()) {
                return last;
            }
            offered.insert(host);
        }
        if !std::mem::take(&mut may_search) {
            return last;
        }
        survey::refresh_helpers(shared).await;
        hosts = candidates(shared);
        hosts.retain(|candidate| {
            let may_serve = offered.is_empty() || !candidate.is_avoided;
            may_serve && !offered.contains(&candidate.host)
        });
    }
}

async fn offer(shared: &Rc<Shared>, job: &Job, host: &str, address: SocketAddr) -> Attempt {
    let in_flight = InFlight::new(shared, host);
    let pause = |cause: String| {
        let until = shared.now() + BACKOFF;
        in_flight.update(|helper| helper.paused_until = until);
        Attempt::failed(Outcome::NotSent, cause)
    };
    let opened = tokio::select! {
        biased;
        () = job.incoming.caller.departed() => return Attempt::failed(Outcome::NotSent, attempt::CALLER_LEFT.to_owned()),
        opened = Connection::open(address, CONNECT_TIMEOUT) => opened,
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => return pause(error.to_string()),
    };
    let now = shared.now();
    if let Some(cause) = attempt::obstacle(shared, job, now) {
        return Attempt::failed(Outcome::NotSent, cause.to_owned());
    }
    let left = job.deadline.since(now);
    job.incoming.activity.set(Stage::Forwarded);
    shared.metrics.record_forwarded();
    log::info!(request = job.id.as_str(), service = job.service.as_str(), via = host; "request sent through another host");
    let left_ms = left.as_millis().to_string();
    let deadline = ExtraHeader {
        name: shared.protocol.headers.deadline,
        value: &left_ms,
    };
    let version = job.config.version.to_string();
    let mut headers = vec![deadline];
    headers.extend(route::headers(job, &version));
    let wire = exchange::encode(&job.incoming.head, &job.incoming.body, &headers);
    let received = tokio::select! {
        biased;
        received = attempt::exchange(shared, job, &mut connection, &wire, left) => received,
        // The other host learns of it by the reset, and goes on only if a target has the request.
        () = job.incoming.caller.departed() => {
            connection.reset();
            return Attempt::failed(Outcome::Unknown, attempt::CALLER_LEFT.to_owned());
        }
    };
    let received = match received {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => {
            connection.reset();
            return Attempt::failed(Outcome::Unknown, error.to_string());
        }
        Err(_) => {
            connection.reset();
            let cause = "no response from the other host in time".to_owned();
            return Attempt::failed(Outcome::Unknown, cause);
        }
    };
    let response = &received.response;
    let status = response.status;
    let is_signed = response
        .headers
        .get(shared.protocol.headers.signature)
        .is_some();
    let outcome = match status {
        200..300 if is_signed => Outcome::Success,
        _ if is_signed => Outcome::Failure,
        // The other host's own refusals state that the request has not run.
        400..500 | 503 => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let now = shared.now();
    match outcome {
        // It takes requests of other routes.
        Outcome::NotRun if status == ROUTED_OTHERWISE => {}
        Outcome::NotRun => in_flight.update(|helper| helper.avoided_until = now + BACKOFF),
        Outcome::Unknown => {}
        _ => in_flight.update(|helper| helper.reached_at = now),
    }
    let lines = received.response.headers.0.iter();
    let headers = lines.filter(|(name, _)| message::is_end_to_end(name));
    let mut headers = headers.cloned().collect();
    leaving::take_relayed(shared, &mut headers);
    let length = match received.response.framing {
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let remainder = received.remainder.map(|decoder| Remainder {
        connection,
        decoder,
        length,
        deadline: job.deadline,
        source: None,
    });
    let reply = Reply {
        status,
        headers,
        body: received.body,
        remainder,
        closes: false,
    };
    // A refusal that this host would not make, such as one for a missing route, comes of another
    // configuration.
    let is_relayed = outcome != Outcome::NotRun || matches!(status, 408 | 421 | 429 | 503);
    Attempt {
        outcome,
        reply: is_relayed.then_some(reply),
        status,
        cause: String::new(),
        is_retry_charged: false,
        connection: None,
    }
}
