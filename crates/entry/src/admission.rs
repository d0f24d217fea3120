//! Admission of requests to targets, and the queue of requests that wait for it.

use std::{collections::BTreeSet, rc::Rc};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{
    fleet::Target,
    queue::{self, Quota, Resource, Ticket},
    registration::Incarnation,
};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::{
    activity::Stage,
    hop,
    job::Job,
    pause, rate_limit,
    reply::{Problem, RETRY_AFTER_ABSENT_MS, RETRY_AFTER_BUSY_MS},
    search::{self, Criteria, Search},
    shared::Shared,
    stop::Phase,
};

/// Interval at which targets are searched for waiting requests. Requests that end at a target start
/// a search at once, but targets warm up and breakers close without such an event.
const DISPATCH_INTERVAL: Span = Span::from_millis(30);
/// Minimum time between two searches for waiting requests whose targets' links are lost.
const REROUTE_INTERVAL: Span = Span::from_millis(30);

/// How an admitted request gets to a target.
pub(crate) enum Admitted {
    /// This host sends it to the target by the permit.
    Direct(Target, Permit),
    /// Another host sends it, since this one has lost its links.
    Forwarded,
}

/// A request in the queue.
pub(crate) struct Waiter {
    criteria: Criteria,
    is_forwarded: bool,
    /// Until when it may wait for targets that want nothing from this host.
    patience: Instant,
    found: oneshot::Sender<Result<Admitted, Problem>>,
}

/// Selects a target for a request; if none has room, waits in the queue.
pub(crate) async fn acquire(shared: &Rc<Shared>, job: &Job) -> Result<Admitted, Problem> {
    let now = shared.now();
    if job.is_abandoned(now) {
        return Err(CALLER_LEFT);
    }
    let criteria = Criteria::new(job);
    if shared.stop.has_reached(Phase::Refusing) {
        return Err(HOST_STOPPING);
    }
    if hop::is_needed(shared, &criteria, job.incoming.is_forwarded) {
        return match job.incoming.is_forwarded {
            true => Err(LINKS_LOST),
            false => Ok(Admitted::Forwarded),
        };
    }
    let resource = match search::search(shared, &criteria, now) {
        Search::Found(target) => return Ok(admit(shared, target, false)),
        Search::Busy(resource) => resource,
        Search::Absent => return Err(NO_TARGET),
    };
    let patience = pause::patience(job, now);
    if let Some(problem) = pause::refusal(shared, &resource, now, patience) {
        return Err(problem);
    }
    if shared.stop.has_reached(Phase::Closing) {
        return Err(HOST_STOPPING);
    }
    let min_service_time = min_service_time(job);
    let left = job.deadline.since(now);
    if left <= min_service_time {
        return Err(Problem::refusal(
            "too little time is left",
            RETRY_AFTER_BUSY_MS,
        ));
    }
    job.incoming.activity.set(Stage::Queued);
    let max_waiting = capacity(shared, job, &resource, now);
    let start_by = job.incoming.received + (job.rule.objective - min_service_time);
    let (found, outcome) = oneshot::channel();
    let waiter = Waiter {
        criteria,
        is_forwarded: job.incoming.is_forwarded,
        patience,
        found,
    };
    let entry = Entry::new(
        shared,
        waiter,
        queue::Request {
            resource: resource.clone(),
            priority: job.rule.priority,
            start_by,
        },
    );
    reject_overflow(shared, now, &resource, max_waiting);
    let limit = (left - min_service_time).as_duration();
    let outcome = tokio::select! {
        biased;
        () = job.incoming.caller.departed() => return Err(CALLER_LEFT),
        outcome = timeout(limit, outcome) => outcome,
    };
    drop(entry);
    shared.metrics.record_wait(shared.now().since(now));
    match outcome {
        Ok(Ok(outcome)) => outcome,
        _ => {
            let now = shared.now();
            Err(rate_limit::refusal(
                shared,
                &resource,
                now,
                "no target has room",
            ))
        }
    }
}

/// Refusal of a forwarded request that this host can't send either.
const LINKS_LOST: Problem = Problem::refusal(
    "this host has lost its links to the targets",
    RETRY_AFTER_BUSY_MS,
);

/// Reroutes waiting requests when links are lost, for as long as the host runs. Links that are lost
/// within [`REROUTE_INTERVAL`] are one event.
pub(crate) async fn run_reroutes(shared: Rc<Shared>) {
    loop {
        shared.reroute_due.notified().await;
        reroute(&shared);
        sleep(REROUTE_INTERVAL.as_duration()).await;
    }
}

/// Lets requests that wait for targets whose links are lost go through another host.
fn reroute(shared: &Shared) {
    let tickets: Vec<Ticket> = {
        let waiters = shared.waiters.borrow();
        let needing = waiters
            .iter()
            .filter(|(_, waiter)| hop::is_needed(shared, &waiter.criteria, waiter.is_forwarded));
        needing.map(|(ticket, _)| *ticket).collect()
    };
    for ticket in tickets {
        shared.queue.borrow_mut().remove(ticket);
        let waiter = shared.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            let admitted = match waiter.is_forwarded {
                true => Err(LINKS_LOST),
                false => Ok(Admitted::Forwarded),
            };
            let _ = waiter.found.send(admitted);
        }
    }
}

/// Refusal of a request whose service has no target that takes requests.
const NO_TARGET: Problem = Problem::refusal("the service has no target", RETRY_AFTER_ABSENT_MS);

/// Refusal of a request that would have to wait although the host is stopping.
const HOST_STOPPING: Problem = Problem::refusal("the host stops", RETRY_AFTER_BUSY_MS);

/// End of a request whose caller left before it was sent to a target.
const CALLER_LEFT: Problem = Problem::refusal("the caller has left", RETRY_AFTER_BUSY_MS);

/// Refuses all waiting requests, since the host stops soon.
pub(crate) fn reject_waiting(shared: &Shared) {
    let waiters = std::mem::take(&mut *shared.waiters.borrow_mut());
    for waiter in waiters.into_values() {
        let _ = waiter.found.send(Err(HOST_STOPPING));
    }
}

/// Returns the time that a request is assumed to need at a target. A request stops waiting when it
/// has less than this left.
pub(crate) fn min_service_time(job: &Job) -> Span {
    job.rule.objective.scale(1, 3)
}

/// Returns how many requests may wait for a resource: as many as it can serve within part of the
/// time that the request has left.
fn capacity(shared: &Shared, job: &Job, resource: &Resource, now: Instant) -> u32 {
    let left = job.deadline.since(now).scale(1, 2);
    match resource {
        Resource::Owner(incarnation) => {
            let fleet = shared.fleet.borrow();
            let target = fleet.get(&incarnation.id);
            let quota = Quota {
                per_second: shared
                    .with_endpoint(incarnation, |endpoint| endpoint.load.throughput(now)),
                slots: target.map_or(1, |target| target.registration.slots),
                share: shared.share(),
            };
            let max_wait = job.rule.objective.scale(1, 2).min(left);
            let allowance = rate_limit::allowance(shared, incarnation, now, max_wait);
            quota.limit(max_wait).min(allowance.unwrap_or(u32::MAX))
        }
        Resource::Any(service) => {
            let fleet = shared.fleet.borrow();
            let response_time = |incarnation: &Incarnation| {
                shared.with_endpoint(incarnation, |endpoint| endpoint.load.response_time())
            };
            let each = fleet.serving(service).map(|target| {
                let incarnation = &target.registration.incarnation;
                let capacity =
                    queue::capacity(search::MIN_IN_FLIGHT, response_time(incarnation), left);
                let allowance = rate_limit::allowance(shared, incarnation, now, left);
                capacity.min(allowance.unwrap_or(u32::MAX))
            });
            each.sum()
        }
        Resource::Unowned(_) => u32::MAX,
    }
}

/// If too many requests wait for a resource, refuses the one that would be served last.
fn reject_overflow(shared: &Shared, now: Instant, resource: &Resource, max_waiting: u32) {
    let overflowing = shared.queue.borrow().overflow(now, resource, max_waiting);
    let Some(overflowing) = overflowing else {
        return;
    };
    shared.queue.borrow_mut().remove(overflowing);
    let waiter = shared.waiters.borrow_mut().remove(&overflowing);
    if let Some(waiter) = waiter {
        let problem = rate_limit::refusal(shared, resource, now, "too many requests wait");
        let _ = waiter.found.send(Err(problem));
    }
}

/// A request's entry in the queue; dropping it removes the request.
struct Entry {
    shared: Rc<Shared>,
    ticket: Ticket,
}

impl Entry {
    fn new(shared: &Rc<Shared>, waiter: Waiter, request: queue::Request) -> Self {
        let ticket = shared.queue.borrow_mut().push(request);
        shared.waiters.borrow_mut().insert(ticket, waiter);
        shared.queued.notify_one();
        Self {
            shared: shared.clone(),
            ticket,
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.queue.borrow_mut().remove(self.ticket);
        self.shared.waiters.borrow_mut().remove(&self.ticket);
    }
}

/// Dispatches waiting requests periodically for as long as the host runs.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        if shared.queue.borrow().is_empty() {
            shared.queued.notified().await;
        }
        sleep(DISPATCH_INTERVAL.as_duration()).await;
        dispatch(&shared);
    }
}

/// Admits waiting requests to targets that have room, in the order of the queue.
pub(crate) fn dispatch(shared: &Rc<Shared>) {
    if shared.queue.borrow().is_empty() || shared.is_dispatching.replace(true) {
        return;
    }
    let now = shared.now();
    let mut full: BTreeSet<Resource> = BTreeSet::new();
    let order = shared.queue.borrow().order(now);
    for ticket in order {
        let waiters = shared.waiters.borrow();
        let Some(waiter) = waiters.get(&ticket) else {
            continue;
        };
        let resource = search::resource(shared, &waiter.criteria, now);
        if full.contains(&resource) {
            continue;
        }
        let search = search::search(shared, &waiter.criteria, now);
        drop(waiters);
        match search {
            Search::Found(target) => admit_waiter(shared, ticket, target),
            Search::Busy(resource) => {
                shared
                    .queue
                    .borrow_mut()
                    .set_resource(ticket, resource.clone());
                full.insert(resource);
            }
            Search::Absent => reject(shared, ticket, NO_TARGET),
        }
    }
    shared.is_dispatching.set(false);
}

/// Returns the refusal of a request whose targets want nothing from this host now, if they do.
pub(crate) fn paused(shared: &Shared, job: &Job) -> Option<Problem> {
    let now = shared.now();
    let resource = search::resource(shared, &Criteria::new(job), now);
    pause::refusal(shared, &resource, now, now)
}

/// Refuses the waiting requests whose targets want nothing from this host for so long that they can't
/// be served in time.
pub(crate) fn reject_paused(shared: &Shared) {
    let now = shared.now();
    let refused: Vec<(Ticket, Problem)> = {
        let waiters = shared.waiters.borrow();
        let refusal = |(ticket, waiter): (&Ticket, &Waiter)| {
            let resource = search::resource(shared, &waiter.criteria, now);
            let problem = pause::refusal(shared, &resource, now, waiter.patience);
            problem.map(|problem| (*ticket, problem))
        };
        waiters.iter().filter_map(refusal).collect()
    };
    for (ticket, problem) in refused {
        reject(shared, ticket, problem);
    }
}

/// Refuses a waiting request.
fn reject(shared: &Shared, ticket: Ticket, problem: Problem) {
    shared.queue.borrow_mut().remove(ticket);
    let waiter = shared.waiters.borrow_mut().remove(&ticket);
    if let Some(waiter) = waiter {
        let _ = waiter.found.send(Err(problem));
    }
}

fn admit_waiter(shared: &Rc<Shared>, ticket: Ticket, target: Target) {
    shared.queue.borrow_mut().remove(ticket);
    let waiter = shared.waiters.borrow_mut().remove(&ticket);
    if let Some(waiter) = waiter {
        // If the waiter has left, the send fails and drops the permit, which frees it.
        let _ = waiter.found.send(Ok(admit(shared, target, true)));
    }
}

fn admit(shared: &Rc<Shared>, target: Target, was_queued: bool) -> Admitted {
    let permit = Permit::acquire(shared, &target.registration.incarnation, was_queued);
    Admitted::Direct(target, permit)
}

/// Counts a request as in flight at its target until it is dropped.
pub(crate) struct Permit {
    shared: Rc<Shared>,
    incarnation: Incarnation,
    /// Whether the request waited in the queue.
    pub(crate) was_queued: bool,
}

impl Permit {
    fn acquire(shared: &Rc<Shared>, incarnation: &Incarnation, was_queued: bool) -> Self {
        let now = shared.now();
        rate_limit::take(shared, incarnation, now);
        shared.with_endpoint(incarnation, |endpoint| {
            endpoint.load.start(now);
            endpoint.cold_limiter.take(now, 0.0, 1.0)
        });
        Self {
            shared: shared.clone(),
            incarnation: incarnation.clone(),
            was_queued,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared
            .with_endpoint(&self.incarnation, |endpoint| endpoint.load.end());
        dispatch(&self.shared);
    }
}
