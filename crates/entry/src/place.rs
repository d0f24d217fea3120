//! Places at targets, and the requests that wait for one.

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
    job::Job,
    reply::{Problem, RETRY_ABSENT_MS, RETRY_BUSY_MS},
    search::{self, Search, Wanted},
    shared::Shared,
};

/// Pause between two searches for waiting requests while no place becomes free. Targets become
/// warm and breakers close without an event.
const SEARCH_PAUSE: Span = Span::from_millis(30);

/// A target and the place that a request takes there.
pub(crate) type Found = (Target, Place);

/// A request in the queue.
pub(crate) struct Waiter {
    wanted: Wanted,
    found: oneshot::Sender<Result<Found, Problem>>,
}

/// Finds a target, and waits for a place at one.
pub(crate) async fn find(shared: &Rc<Shared>, job: &Job) -> Result<Found, Problem> {
    let now = shared.now();
    if job.is_abandoned.get() {
        return Err(Problem::refusal("the caller has left", RETRY_BUSY_MS));
    }
    let wanted = Wanted::new(job);
    let spot = match search::search(shared, &wanted, now) {
        Search::Found(target) => return Ok(take(shared, target)),
        Search::Busy(spot) => spot,
        Search::Absent => {
            let reason = "the service has no target";
            return Err(Problem::refusal(reason, RETRY_ABSENT_MS));
        }
    };
    if shared.refuses_waiting.get() {
        return Err(STOPPING);
    }
    let reserve = reserve(job);
    let left = job.deadline.since(now);
    if left <= reserve {
        return Err(Problem::refusal("too little time is left", RETRY_BUSY_MS));
    }
    let most = capacity(shared, job, &spot, now);
    let in_time_until = job.incoming.received + (job.rule.objective - reserve);
    let (found, outcome) = oneshot::channel();
    let entry = Entry::new(
        shared,
        wanted,
        found,
        queue::Request {
            resource: spot.clone(),
            priority: job.rule.priority,
            start_by: in_time_until,
        },
    );
    refuse_overflow(shared, now, &spot, most);
    let limit = (left - reserve).as_duration();
    let outcome = timeout(limit, outcome).await;
    drop(entry);
    shared.metrics.waited(shared.now().since(now));
    match outcome {
        Ok(Ok(outcome)) => outcome,
        _ => Err(Problem::refusal("no target has room", RETRY_BUSY_MS)),
    }
}

/// Refusal of a request that a planned stop leaves no time to wait.
const STOPPING: Problem = Problem::refusal("the host stops", RETRY_BUSY_MS);

/// Refuses the requests that wait, and lets none wait any more: the host stops soon.
pub(crate) fn refuse_waiting(shared: &Shared) {
    shared.refuses_waiting.set(true);
    let waiters = std::mem::take(&mut *shared.waiters.borrow_mut());
    for waiter in waiters.into_values() {
        let _ = waiter.found.send(Err(STOPPING));
    }
}

/// Time that a request needs at a target at least, so that waiting longer is in vain.
fn reserve(job: &Job) -> Span {
    job.rule.objective.scale(1, 3)
}

/// Returns how many requests may wait for a spot: as many as it serves within a part of their time.
fn capacity(shared: &Shared, job: &Job, spot: &Resource, now: Instant) -> u32 {
    let left = job.deadline.since(now).scale(1, 2);
    match spot {
        Resource::Owner(life) => {
            let fleet = shared.fleet.borrow();
            let target = fleet.get(&life.id);
            let part = Quota {
                per_second: shared.with_peer(life, |peer| peer.load.throughput(now)),
                slots: target.map_or(1, |target| target.registration.slots),
                share: shared.share(),
            };
            part.limit(job.rule.objective.scale(1, 2).min(left))
        }
        Resource::Any(service) => {
            let fleet = shared.fleet.borrow();
            let response =
                |life: &Incarnation| shared.with_peer(life, |peer| peer.load.response_time());
            let each = fleet.serving(service).map(|target| {
                let response = response(&target.registration.incarnation);
                queue::capacity(search::LEAST_PLACES, response, left)
            });
            each.sum()
        }
        Resource::Unowned(_) => u32::MAX,
    }
}

/// Refuses the request that would be served last if too many wait.
fn refuse_overflow(shared: &Shared, now: Instant, spot: &Resource, most: u32) {
    let victim = shared.queue.borrow().overflow(now, spot, most);
    let Some(victim) = victim else {
        return;
    };
    shared.queue.borrow_mut().remove(victim);
    let waiter = shared.waiters.borrow_mut().remove(&victim);
    if let Some(waiter) = waiter {
        let problem = Problem::refusal("too many requests wait", RETRY_BUSY_MS);
        let _ = waiter.found.send(Err(problem));
    }
}

/// A request's entry in the queue, until it is served or leaves.
struct Entry {
    shared: Rc<Shared>,
    ticket: Ticket,
}

impl Entry {
    fn new(
        shared: &Rc<Shared>,
        wanted: Wanted,
        found: oneshot::Sender<Result<Found, Problem>>,
        waiting: queue::Request,
    ) -> Self {
        let ticket = shared.queue.borrow_mut().push(waiting);
        let waiter = Waiter { wanted, found };
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

/// Searches again for waiting requests as long as there are any.
pub(crate) async fn attend(shared: Rc<Shared>) {
    loop {
        if shared.queue.borrow().is_empty() {
            shared.queued.notified().await;
        }
        sleep(SEARCH_PAUSE.as_duration()).await;
        serve(&shared);
    }
}

/// Gives free places to waiting requests.
pub(crate) fn serve(shared: &Rc<Shared>) {
    if shared.queue.borrow().is_empty() || shared.is_serving.replace(true) {
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
        let spot = search::spot(shared, &waiter.wanted, now);
        if full.contains(&spot) {
            continue;
        }
        let search = search::search(shared, &waiter.wanted, now);
        drop(waiters);
        match search {
            Search::Found(target) => hand_over(shared, ticket, target),
            Search::Busy(spot) => {
                shared.queue.borrow_mut().set_resource(ticket, spot.clone());
                full.insert(spot);
            }
            Search::Absent => {}
        }
    }
    shared.is_serving.set(false);
}

fn hand_over(shared: &Rc<Shared>, ticket: Ticket, target: Target) {
    shared.queue.borrow_mut().remove(ticket);
    let waiter = shared.waiters.borrow_mut().remove(&ticket);
    if let Some(waiter) = waiter {
        // A waiter that has left gives the place back by dropping it.
        let _ = waiter.found.send(Ok(take(shared, target)));
    }
}

fn take(shared: &Rc<Shared>, target: Target) -> Found {
    let place = Place::take(shared, &target.registration.incarnation);
    (target, place)
}

/// A request's place at a target, until it ends.
pub(crate) struct Place {
    shared: Rc<Shared>,
    life: Incarnation,
}

impl Place {
    fn take(shared: &Rc<Shared>, life: &Incarnation) -> Self {
        let now = shared.now();
        shared.with_peer(life, |peer| {
            peer.load.start(now);
            peer.cold.take(now, 0.0, 1.0)
        });
        Self {
            shared: shared.clone(),
            life: life.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.with_peer(&self.life, |peer| peer.load.end());
        serve(&self.shared);
    }
}
