//! Search for a target that takes a request, and the places at targets.

use std::rc::Rc;

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{
    choice::{self, Candidate},
    config::Kind,
    fleet::Target,
    registration::Life,
};
use tokio::time::timeout;

use crate::{
    job::Job,
    reply::{Problem, RETRY_ABSENT_MS, RETRY_BUSY_MS},
    shared::Shared,
};

/// Requests of one host at a target, as a multiple of its share of the slots.
const SLOT_SHARE: u32 = 4;
/// Least requests of one host that a target takes at once.
const LEAST_PLACES: u32 = 3;
/// Cost of a target in another data centre, relative to one in the same.
const FAR: f64 = 1.1;
/// The same for requests with a large answer.
const FAR_DOWNLOAD: f64 = 2.0;
/// Longest time between two searches for a place.
const SEARCH_PAUSE: Span = Span::from_millis(50);

/// Where a request can go at this moment.
enum Search {
    Found(Target),
    /// All targets have as many requests as they bear, or the key is on the move.
    Busy,
    /// The service has no target.
    Absent,
}

/// Finds a target, and waits for a place at one.
pub(crate) async fn find(shared: &Shared, job: &Job) -> Result<Target, Problem> {
    loop {
        let now = shared.now();
        if job.is_abandoned.get() {
            return Err(Problem::refusal("the caller has left", RETRY_BUSY_MS));
        }
        let search = match job.key {
            Some(key) => search_owner(shared, job, key, now),
            None => search_any(shared, job, now),
        };
        let (reason, limit) = match search {
            Search::Found(target) => return Ok(target),
            Search::Busy => ("no target has room", RETRY_BUSY_MS),
            Search::Absent => ("the service has no target", RETRY_ABSENT_MS),
        };
        let left = job.deadline.since(now);
        let problem = Problem::refusal(reason, limit);
        if left <= reserve(job) {
            return Err(problem);
        }
        let wait = (left - reserve(job)).min(SEARCH_PAUSE);
        shared.waiting.set(shared.waiting.get() + 1);
        let _waiter = Waiter(shared);
        let _ = timeout(wait.as_duration(), shared.room.notified()).await;
    }
}

/// Time that a request needs at a target at least, so that waiting longer is in vain.
fn reserve(job: &Job) -> Span {
    job.rule.objective.scale(1, 3)
}

struct Waiter<'a>(&'a Shared);

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

fn search_owner(shared: &Shared, job: &Job, key: u16, now: Instant) -> Search {
    let assignments = shared.assignments.borrow();
    let range = assignments.get(&job.service).and_then(|a| a.range(key));
    let Some(range) = range.filter(|range| range.is_held()) else {
        return Search::Busy;
    };
    let fleet = shared.fleet.borrow();
    let owner = fleet
        .get(&range.owner.id)
        .filter(|t| t.registration.life == range.owner);
    match owner.filter(|target| fleet.is_serving(target)) {
        Some(target) if has_place(shared, job, target, now) => Search::Found(target.clone()),
        _ => Search::Busy,
    }
}

fn search_any(shared: &Shared, job: &Job, now: Instant) -> Search {
    let fleet = shared.fleet.borrow();
    let serving: Vec<&Target> = fleet.serving(&job.service).collect();
    if serving.is_empty() {
        return Search::Absent;
    }
    let own = shared.settings.borrow().data_centre.clone();
    let far = match job.rule.kind {
        Kind::Download => FAR_DOWNLOAD,
        _ => FAR,
    };
    let candidate = |target: &&Target| {
        let registration = &target.registration;
        let cost = shared.with_peer(&registration.life, |p| p.load.cost(now, registration.slots));
        let distance = if registration.data_centre == own {
            1.0
        } else {
            far
        };
        (registration.life.clone(), cost * distance)
    };
    let open = serving.iter().filter(|t| has_place(shared, job, t, now));
    let open: Vec<&Target> = open.copied().collect();
    let fresh: Vec<&Target> = open
        .iter()
        .filter(|t| !job.tried.contains(&t.registration.life))
        .copied()
        .collect();
    let pool = if fresh.is_empty() { open } else { fresh };
    let mut candidates: Vec<Candidate<usize>> = pool
        .iter()
        .enumerate()
        .map(|(index, target)| Candidate {
            target: index,
            cost: candidate(target).1,
        })
        .collect();
    let chosen = choice::choose(&mut candidates, &mut *shared.random.borrow_mut());
    chosen.map_or(Search::Busy, |index| Search::Found(pool[index].clone()))
}

/// Tells whether a target takes one more request of this host.
fn has_place(shared: &Shared, job: &Job, target: &Target, now: Instant) -> bool {
    let share = shared.share();
    let registration = &target.registration;
    let places = share.count(registration.slots * SLOT_SHARE, LEAST_PLACES);
    let spec = job.config.services.get(&job.service);
    let is_cold = target.cold_until > now;
    shared.with_peer(&registration.life, |peer| {
        if !peer.breaker.is_closed(now) || peer.load.in_flight() >= places {
            return false;
        }
        let rate = spec.map_or(1.0, |spec| share.of(spec.cold_rate));
        !(is_cold || peer.breaker.is_doubtful()) || peer.cold.has(now, rate, 1.0)
    })
}

/// A request's place at a target, until it ends.
pub(crate) struct Place {
    shared: Rc<Shared>,
    life: Life,
}

impl Place {
    pub(crate) fn take(shared: &Rc<Shared>, life: &Life) -> Self {
        let now = shared.now();
        shared.with_peer(life, |peer| {
            peer.load.start();
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
        self.shared.wake();
    }
}
