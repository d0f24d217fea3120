//! Rate limits that targets state: their use on this host, and their exchange with other hosts.
//!
//! A limit applies to the requests of all hosts together, on every way to the target: first
//! attempts, retries and requests from the queue. Each host sends its part. A host that never sent
//! to the target learns the limit from the leader.

pub(crate) use ragwortrill_core::rate_limit::Source;
use ragwortrill_core::{
    rate_limit::{Limit, Part, Rate, Statement},
    time::{Instant, Span},
};
use ragwortrill_router::{queue::Resource, registration::Incarnation, restart::Exchange, share};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    message::Response,
    reply::{Problem, RETRY_AFTER_BUSY_MS},
    shared::Shared,
};

/// Time for which the end of a limit is told to other hosts.
const END_TTL: Span = Span::from_secs(10);

/// A statement of a target, as hosts tell it to each other.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Relayed {
    /// Target that made the statement.
    pub target: Incarnation,
    /// The limit; none if it has ended.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub per_second: Option<Rate>,
    /// Microseconds since the statement.
    pub age_us: u64,
}

/// Records what an answer says about its target's rate limit.
pub(crate) fn record(
    shared: &Shared,
    target: &Incarnation,
    response: &Response,
    exchange: &Exchange,
) {
    let text = response.headers.get(shared.protocol.headers.rate_limit);
    let rate = match text.map(str::parse::<Rate>).transpose() {
        Ok(rate) => rate,
        Err(error) => {
            log::warn!(target = target.id.as_str(), error = error.to_string(); "target states a rate limit that can't be read");
            return;
        }
    };
    let statement = Statement {
        rate,
        sent_at: exchange.sent_at,
        stated_at: exchange.answered_at,
    };
    store(shared, target, statement, Source::Answer);
}

fn store(shared: &Shared, target: &Incarnation, statement: Statement, source: Source) {
    let now = shared.now();
    let has_changed = shared.with_endpoint(target, |endpoint| {
        endpoint.rate_limit.record(now, statement, source)
    });
    if !has_changed {
        return;
    }
    let source = match source {
        Source::Answer => "answer",
        Source::Relay | Source::Report => "other host",
    };
    match statement.rate {
        Some(rate) => {
            log::info!(target = target.id.as_str(), per_second = rate.to_string(), source = source; "target states a rate limit")
        }
        None => {
            log::info!(target = target.id.as_str(), source = source; "target no longer states a rate limit")
        }
    }
}

/// Returns the limit that a target states.
pub(crate) fn rate(shared: &Shared, target: &Incarnation, now: Instant) -> Option<Rate> {
    shared.with_endpoint(target, |endpoint| endpoint.rate_limit.rate(now))
}

/// Returns whether the target's limit, if it states one, allows one more request of this host.
pub(crate) fn allows(shared: &Shared, target: &Incarnation, now: Instant) -> bool {
    allowance(shared, target, now, Span::ZERO).is_none_or(|allowance| allowance > 0)
}

/// Returns how many more requests of this host the target's limit allows within a time, or none if
/// the target states no limit.
pub(crate) fn allowance(
    shared: &Shared,
    target: &Incarnation,
    now: Instant,
    time: Span,
) -> Option<u32> {
    let rate = rate(shared, target, now)?;
    let Some(part) = part(shared, target, rate) else {
        return Some(0);
    };
    Some(shared.with_endpoint(target, |endpoint| {
        endpoint.rate_limit.allowance(now, part, time)
    }))
}

/// Counts a request that is sent to a target.
pub(crate) fn take(shared: &Shared, target: &Incarnation, now: Instant) {
    let rate = rate(shared, target, now);
    let part = rate.and_then(|rate| part(shared, target, rate));
    shared.with_endpoint(target, |endpoint| endpoint.rate_limit.take(now, part));
}

/// Returns the refusal of a request that can't wait for a resource any longer. It states when the
/// resource will take another request, if that depends on a rate limit alone.
pub(crate) fn refusal(
    shared: &Shared,
    resource: &Resource,
    now: Instant,
    reason: &'static str,
) -> Problem {
    let waiting = shared.queue.borrow().waiting_for(resource) as u32;
    match retry_after(shared, resource, now, waiting + 1) {
        Some(time) => {
            let millis = time.0.div_ceil(1_000).max(RETRY_AFTER_BUSY_MS);
            Problem::refusal("the target's rate limit is reached", millis)
        }
        None => Problem::refusal(reason, RETRY_AFTER_BUSY_MS),
    }
}

/// Returns the time until a resource takes `count` more requests, or none if it states no limit.
fn retry_after(shared: &Shared, resource: &Resource, now: Instant, count: u32) -> Option<Span> {
    match resource {
        Resource::Owner(owner) => time_to(shared, owner, now, count),
        Resource::Any(service) => {
            let fleet = shared.fleet.borrow();
            let targets = fleet.serving(service);
            let times: Option<Vec<Span>> = targets
                .map(|target| time_to(shared, &target.registration.incarnation, now, count))
                .collect();
            times?.into_iter().min()
        }
        Resource::Unowned(_) => None,
    }
}

fn time_to(shared: &Shared, target: &Incarnation, now: Instant, count: u32) -> Option<Span> {
    let rate = rate(shared, target, now)?;
    // Another host sends to the target, at intervals of the whole rate.
    let Some(part) = part(shared, target, rate) else {
        return Some(Span::from_secs_f64(f64::from(count) / rate.per_second()));
    };
    Some(shared.with_endpoint(target, |endpoint| {
        endpoint.rate_limit.time_to(now, part, count)
    }))
}

/// Returns this host's part of a limit, or none if only other hosts may send to the target.
fn part(shared: &Shared, target: &Incarnation, rate: Rate) -> Option<Part> {
    let hosts = shared.hosts.borrow();
    let hosts: Vec<&str> = hosts.keys().map(String::as_str).collect();
    let settings = shared.settings.borrow();
    share::rate_limit_part(rate, &target.id, settings.host.as_str(), &hosts)
}

/// Returns the statements that this host, or one that reports to it, got itself, for the leader.
pub(crate) fn own(shared: &Shared) -> Vec<Relayed> {
    collect(shared, |limit, now| limit.own_statement(now))
}

/// Returns all statements that this host knows, for other hosts.
pub(crate) fn known(shared: &Shared) -> Vec<Relayed> {
    collect(shared, |limit, now| limit.statement(now))
}

fn collect(
    shared: &Shared,
    statement: impl Fn(&Limit, Instant) -> Option<Statement>,
) -> Vec<Relayed> {
    let now = shared.now();
    let endpoints = shared.endpoints.borrow();
    let relayed = endpoints.iter().filter_map(|(target, endpoint)| {
        let statement = statement(&endpoint.rate_limit, now)?;
        let age = now.since(statement.stated_at);
        let is_due = statement.rate.is_some() || age < END_TTL;
        is_due.then(|| Relayed {
            target: target.clone(),
            per_second: statement.rate,
            age_us: age.0,
        })
    });
    relayed.collect()
}

/// Records statements that another host told, as of a time.
pub(crate) fn merge(shared: &Shared, told_at: Instant, relayed: Vec<Relayed>, source: Source) {
    for Relayed {
        target,
        per_second,
        age_us,
    } in relayed
    {
        let stated_at = told_at - Span(age_us);
        let statement = Statement {
            rate: per_second,
            sent_at: stated_at,
            stated_at,
        };
        store(shared, &target, statement, source);
    }
}
