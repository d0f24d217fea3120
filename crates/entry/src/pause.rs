//! Targets that state with a refusal for how long they want nothing from this host.
//!
//! The statement is made to one host, so it is not told to others: a target may well take requests
//! of hosts that send it less.

use std::rc::Rc;

use ragwortrill_core::{
    pause::{self, Time},
    time::{Instant, Span},
};
use ragwortrill_router::{queue::Resource, registration::Incarnation, restart::Exchange};

use crate::{
    admission,
    job::Job,
    message::Response,
    reply::{Problem, RETRY_AFTER_BUSY_MS},
    shared::Shared,
};

/// Status with which a target refuses a request.
const REFUSED: u16 = 503;

/// Records for how long a target wants nothing, if its answer states that.
pub(crate) fn record(
    shared: &Rc<Shared>,
    target: &Incarnation,
    response: &Response,
    exchange: &Exchange,
) {
    if response.status != REFUSED {
        return;
    }
    let Some(text) = response.headers.get(shared.protocol.headers.retry_after) else {
        return;
    };
    let time = match text.parse::<Time>() {
        Ok(time) => time,
        Err(error) => {
            log::warn!(target = target.id.as_str(), error = error.to_string(); "target states a time that can't be read");
            return;
        }
    };
    let change = shared.with_endpoint(target, |endpoint| {
        endpoint.pause.record(exchange.answered_at, time)
    });
    if change.begins {
        log::info!(target = target.id.as_str(), seconds = time.to_string(); "target wants no requests of this host for a time");
    }
    if change.is_longer {
        admission::reject_paused(shared);
    }
}

/// Returns whether a target wants nothing from this host now.
pub(crate) fn is_paused(shared: &Shared, target: &Incarnation, now: Instant) -> bool {
    left(shared, target, now).is_some()
}

fn left(shared: &Shared, target: &Incarnation, now: Instant) -> Option<Span> {
    shared.with_endpoint(target, |endpoint| endpoint.pause.left(now))
}

/// Returns the time for which no target that may run a request wants any, or none if one does.
fn wait(shared: &Shared, resource: &Resource, now: Instant) -> Option<Span> {
    match resource {
        Resource::Owner(owner) => left(shared, owner, now),
        Resource::Any(service) => {
            let fleet = shared.fleet.borrow();
            let targets = fleet.serving(service);
            let waits: Option<Vec<Span>> = targets
                .map(|target| left(shared, &target.registration.incarnation, now))
                .collect();
            waits?.into_iter().min()
        }
        Resource::Unowned(_) => None,
    }
}

/// Returns until when a request may wait for the end of a pause: as long as for any other limit of
/// its target, so that it is still served in time.
pub(crate) fn patience(job: &Job, now: Instant) -> Instant {
    let left = job.deadline.since(now);
    pause::patience(now, job.rule.objective.min(left))
}

/// Returns the refusal of a request whose targets want nothing until after a time, if they do. It
/// states when one of them takes requests again.
pub(crate) fn refusal(
    shared: &Shared,
    resource: &Resource,
    now: Instant,
    until: Instant,
) -> Option<Problem> {
    let wait = wait(shared, resource, now).filter(|wait| now + *wait > until)?;
    let millis = wait.0.div_ceil(1_000).max(RETRY_AFTER_BUSY_MS);
    let reason = "the target wants no requests for a time";
    Some(Problem::refusal(reason, millis))
}
