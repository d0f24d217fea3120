//! Search for a target that can take a request now.

use std::rc::Rc;

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    choice::{self, Candidate},
    config::{Config, Kind},
    fleet::{Fleet, Target},
    queue::Resource,
    registration::{Incarnation, Registration},
    restart::Bounds,
    share::ColdLimit,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{job::Job, rate_limit, reach, shared::Shared};

/// Largest number of requests of one host at a target, as a multiple of the host's share of the
/// target's slots.
const MAX_SHARE_FACTOR: u32 = 8;
/// Smallest limit on the requests that one host has in flight at a target, whatever its share of
/// the slots.
pub(crate) const MIN_IN_FLIGHT: u32 = 3;
/// Largest number of requests of all hosts at a target, as a multiple of its slots. More would only
/// wait at the target, where their order can't be controlled.
const MAX_DEPTH: f64 = 1.7;
/// Cost of a target in another data centre, relative to one in the same.
const REMOTE_COST: f64 = 1.1;
/// Cost of a target in another data centre for requests with a large response, relative to one in
/// the same.
const REMOTE_DOWNLOAD_COST: f64 = 2.0;
/// Largest number of targets with room among which a host chooses.
const MAX_PREFERRED: usize = 10;
/// Time for which a request does not use a range's owner again after the owner answered that it
/// does not hold the key.
const MISDIRECTION_TTL: Span = Span::from_millis(250);

/// What a request needs of a target.
#[derive(Clone)]
pub(crate) struct Criteria {
    config: Rc<Config>,
    pub(crate) service: name::Service,
    pub(crate) key: Option<u16>,
    kind: Kind,
    tried: Vec<Incarnation>,
    misdirected: Option<(u64, Instant)>,
}

impl Criteria {
    pub(crate) fn new(job: &Job) -> Self {
        Self {
            config: job.config.clone(),
            service: job.service.clone(),
            key: job.key,
            kind: job.rule.kind,
            tried: job.tried.clone(),
            misdirected: job.misdirected,
        }
    }
}

/// Result of a search.
pub(crate) enum Search {
    /// A target that can take the request now.
    Found(Target),
    /// All targets that may run the request are at their limits, or its key has no owner now. The
    /// request can wait for this resource.
    Busy(Resource),
    /// The service has no target.
    Absent,
}

/// Searches for a target.
pub(crate) fn search(shared: &Shared, criteria: &Criteria, now: Instant) -> Search {
    match criteria.key {
        Some(_) => search_owner(shared, criteria, now),
        None => search_any(shared, criteria, now),
    }
}

/// Returns the epoch of the range of a key.
pub(crate) fn epoch(shared: &Shared, service: &name::Service, key: u16) -> Option<u64> {
    let assignments = shared.assignments.borrow();
    let range = assignments.get(service).and_then(|a| a.range(key));
    range.map(|range| range.epoch)
}

/// Returns the resource that a request needs: any target of its service, or the owner of its key.
pub(crate) fn resource(shared: &Shared, criteria: &Criteria, now: Instant) -> Resource {
    let Some(key) = criteria.key else {
        return Resource::Any(criteria.service.clone());
    };
    let assignments = shared.assignments.borrow();
    let range = assignments
        .get(&criteria.service)
        .and_then(|a| a.range(key));
    // The owner answered that it does not hold the key, so the request waits for a newer record of
    // the range.
    let is_misdirected = |epoch| {
        let misdirected = criteria.misdirected.filter(|(other, _)| *other == epoch);
        misdirected.is_some_and(|(_, since)| now.since(since) < MISDIRECTION_TTL)
    };
    match range.filter(|range| range.is_held() && !is_misdirected(range.epoch)) {
        Some(range) => Resource::Owner(range.owner.clone()),
        None => Resource::Unowned(criteria.service.clone()),
    }
}

fn search_owner(shared: &Shared, criteria: &Criteria, now: Instant) -> Search {
    let resource = resource(shared, criteria, now);
    let Resource::Owner(incarnation) = &resource else {
        return Search::Busy(resource);
    };
    let fleet = shared.fleet.borrow();
    match serving(&fleet, incarnation) {
        Some(target) if has_capacity(shared, criteria, target, now) => {
            Search::Found(target.clone())
        }
        _ => Search::Busy(resource),
    }
}

/// Returns whether a target is there and takes requests.
pub(crate) fn is_serving(shared: &Shared, incarnation: &Incarnation) -> bool {
    serving(&shared.fleet.borrow(), incarnation).is_some()
}

fn serving<'a>(fleet: &'a Fleet, incarnation: &Incarnation) -> Option<&'a Target> {
    let target = fleet.get(&incarnation.id)?;
    let is_same = &target.registration.incarnation == incarnation;
    (is_same && fleet.is_serving(target)).then_some(target)
}

fn search_any(shared: &Shared, criteria: &Criteria, now: Instant) -> Search {
    let fleet = shared.fleet.borrow();
    let serving: Vec<&Target> = fleet.serving(&criteria.service).collect();
    if serving.is_empty() {
        return Search::Absent;
    }
    let has_capacity = |target: &&Target| has_capacity(shared, criteria, target, now);
    let open: Vec<&Target> = serving.into_iter().filter(has_capacity).collect();
    let open = preferred(shared, open);
    let is_untried = |target: &&Target| !criteria.tried.contains(&target.registration.incarnation);
    let untried: Vec<&Target> = open.iter().copied().filter(is_untried).collect();
    let pool = if untried.is_empty() { open } else { untried };
    let cost = |(index, target): (usize, &&Target)| Candidate {
        target: index,
        cost: cost(shared, criteria, target, now),
    };
    let mut candidates: Vec<Candidate<usize>> = pool.iter().enumerate().map(cost).collect();
    let chosen = choice::choose(&mut candidates, &mut *shared.random.borrow_mut());
    match chosen {
        Some(index) => Search::Found(pool[index].clone()),
        None => Search::Busy(Resource::Any(criteria.service.clone())),
    }
}

/// Returns the targets that this host prefers, chosen by a hash of host and target within the own
/// data centre first. If every host used all of many targets, connections would be idle for so long
/// that each request would need a new one.
fn preferred<'a>(shared: &Shared, targets: Vec<&'a Target>) -> Vec<&'a Target> {
    if targets.len() <= MAX_PREFERRED {
        return targets;
    }
    let settings = shared.settings.borrow();
    let rank = |target: &&Target| {
        let registration = &target.registration;
        let seed = xxh3_64(settings.host.as_str().as_bytes());
        let hash = xxh3_64_with_seed(registration.incarnation.id.as_str().as_bytes(), seed);
        (registration.data_centre != settings.data_centre, hash)
    };
    let mut ranked = targets;
    ranked.sort_by_cached_key(rank);
    ranked.truncate(MAX_PREFERRED);
    ranked
}

fn cost(shared: &Shared, criteria: &Criteria, target: &Target, now: Instant) -> f64 {
    let registration = &target.registration;
    let is_local = registration.data_centre == shared.settings.borrow().data_centre;
    let distance = match criteria.kind {
        _ if is_local => 1.0,
        Kind::Download => REMOTE_DOWNLOAD_COST,
        _ => REMOTE_COST,
    };
    shared.with_endpoint(&registration.incarnation, |endpoint| {
        endpoint.load.cost(now, registration.slots) * distance
    })
}

/// Returns whether a target can take one more request of this host.
fn has_capacity(shared: &Shared, criteria: &Criteria, target: &Target, now: Instant) -> bool {
    let share = shared.share();
    let registration = &target.registration;
    let slots = registration.slots;
    let spec = criteria.config.services.get(&criteria.service);
    // Each request in flight uses a connection. A request that is admitted without one would be
    // admitted again at once, and so on until its deadline.
    let connections = share.count(spec.map_or(u32::MAX, |spec| spec.connections), 1);
    let max_in_flight = share
        .count(slots * MAX_SHARE_FACTOR, MIN_IN_FLIGHT)
        .min(connections);
    let is_cold = target.cold_until > now;
    let bounds = Bounds {
        listed_at: shared.fleet_read_at(),
        heartbeat: shared.settings.borrow().heartbeat,
        cold_start: spec.map_or(Span::ZERO, |spec| spec.cold_start),
    };
    if !rate_limit::allows(shared, &registration.incarnation, now)
        || reach::is_lost(shared, &registration.service, &registration.incarnation)
        || reach::is_unreached(shared, &registration.incarnation)
    {
        return false;
    }
    shared.with_endpoint(&registration.incarnation, |endpoint| {
        let in_flight = endpoint.load.in_flight();
        let has_room = endpoint.load.has_room(now, f64::from(slots) * MAX_DEPTH);
        let is_paused = endpoint.pause.left(now).is_some();
        if is_paused || !endpoint.breaker.is_closed(now) || in_flight >= max_in_flight || !has_room
        {
            return false;
        }
        let is_suspected = endpoint.may_have_restarted(now, &bounds);
        let may_be_cold = is_cold || is_suspected;
        if !may_be_cold && !endpoint.breaker.is_unproven() {
            return true;
        }
        let rate = spec.and_then(|spec| cold_rate(shared, registration, spec.cold_rate));
        match rate {
            Some(rate) => endpoint.cold_limiter.has_token(now, rate, 1.0),
            // Without a request of this host, a target that failed would count as failed for good.
            None => !may_be_cold && in_flight == 0,
        }
    })
}

/// Returns the rate at which this host may send to a cold target, or none if it may not send to it.
fn cold_rate(shared: &Shared, target: &Registration, rate: f64) -> Option<f64> {
    let settings = shared.settings.borrow();
    let hosts = shared.hosts.borrow();
    let hosts: Vec<&str> = hosts.keys().map(String::as_str).collect();
    let cold = ColdLimit {
        rate,
        overage: settings.bounds.cold_overage,
        slack: settings.bounds.cold_slack,
    };
    cold.host_rate(&target.incarnation.id, settings.host.as_str(), &hosts)
}
