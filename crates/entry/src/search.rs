//! Search for a target that takes a request at this moment.

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
    share::ColdLimit,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{job::Job, shared::Shared};

/// Most requests of one host at a target, as a multiple of its share of the slots.
const SLOT_SHARE: u32 = 8;
/// Least requests of one host that a target takes at once, as long as it has room.
pub(crate) const LEAST_PLACES: u32 = 3;
/// Requests at a target, of all hosts, as a multiple of its slots. More would only wait there,
/// where they can't be ordered.
const DEPTH: f64 = 1.7;
/// Cost of a target in another data centre, relative to one in the same.
const FAR: f64 = 1.1;
/// The same for requests with a large answer.
const FAR_DOWNLOAD: f64 = 2.0;

/// Targets of a service among which a host chooses, as long as they have room.
const MOST_PREFERRED: usize = 10;
/// Time for which a range is not used after its owner said that it does not hold the key.
const DOUBT: Span = Span::from_millis(250);

/// What a request needs of a target.
#[derive(Clone)]
pub(crate) struct Wanted {
    config: Rc<Config>,
    service: name::Service,
    key: Option<u16>,
    kind: Kind,
    tried: Vec<Incarnation>,
    misdirected: Option<(u64, Instant)>,
}

impl Wanted {
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

/// Where a request can go at this moment.
pub(crate) enum Search {
    Found(Target),
    /// The targets that it may go to have as many requests as they bear.
    Busy(Resource),
    /// The service has no target.
    Absent,
}

/// Searches for a target.
pub(crate) fn search(shared: &Shared, wanted: &Wanted, now: Instant) -> Search {
    match wanted.key {
        Some(_) => search_owner(shared, wanted, now),
        None => search_any(shared, wanted, now),
    }
}

/// Returns the epoch of the range of a key.
pub(crate) fn epoch(shared: &Shared, service: &name::Service, key: u16) -> Option<u64> {
    let assignments = shared.assignments.borrow();
    let range = assignments.get(service).and_then(|a| a.range(key));
    range.map(|range| range.epoch)
}

/// Returns what a request waits for.
pub(crate) fn spot(shared: &Shared, wanted: &Wanted, now: Instant) -> Resource {
    let Some(key) = wanted.key else {
        return Resource::Any(wanted.service.clone());
    };
    let assignments = shared.assignments.borrow();
    let range = assignments.get(&wanted.service).and_then(|a| a.range(key));
    // The owner said that it does not hold the key: news of the range are awaited.
    let is_doubtful = |epoch| {
        let doubted = wanted.misdirected.filter(|(doubted, _)| *doubted == epoch);
        doubted.is_some_and(|(_, since)| now.since(since) < DOUBT)
    };
    match range.filter(|range| range.is_held() && !is_doubtful(range.epoch)) {
        Some(range) => Resource::Owner(range.owner.clone()),
        None => Resource::Unowned(wanted.service.clone()),
    }
}

fn search_owner(shared: &Shared, wanted: &Wanted, now: Instant) -> Search {
    let spot = spot(shared, wanted, now);
    let Resource::Owner(life) = &spot else {
        return Search::Busy(spot);
    };
    let fleet = shared.fleet.borrow();
    match serving(&fleet, life) {
        Some(target) if has_place(shared, wanted, target, now) => Search::Found(target.clone()),
        _ => Search::Busy(spot),
    }
}

fn serving<'a>(fleet: &'a Fleet, life: &Incarnation) -> Option<&'a Target> {
    let target = fleet.get(&life.id)?;
    let is_same = &target.registration.incarnation == life;
    (is_same && fleet.is_serving(target)).then_some(target)
}

fn search_any(shared: &Shared, wanted: &Wanted, now: Instant) -> Search {
    let fleet = shared.fleet.borrow();
    let serving: Vec<&Target> = fleet.serving(&wanted.service).collect();
    if serving.is_empty() {
        return Search::Absent;
    }
    let has_place = |target: &&Target| has_place(shared, wanted, target, now);
    let open: Vec<&Target> = serving.into_iter().filter(has_place).collect();
    let open = nearest(shared, open);
    let is_fresh = |target: &&Target| !wanted.tried.contains(&target.registration.incarnation);
    let fresh: Vec<&Target> = open.iter().copied().filter(is_fresh).collect();
    let pool = if fresh.is_empty() { open } else { fresh };
    let cost = |(index, target): (usize, &&Target)| Candidate {
        target: index,
        cost: cost(shared, wanted, target, now),
    };
    let mut candidates: Vec<Candidate<usize>> = pool.iter().enumerate().map(cost).collect();
    let chosen = choice::choose(&mut candidates, &mut *shared.random.borrow_mut());
    match chosen {
        Some(index) => Search::Found(pool[index].clone()),
        None => Search::Busy(Resource::Any(wanted.service.clone())),
    }
}

/// Returns the targets that this host prefers: with many targets and hosts, connections would
/// otherwise be idle for so long that each request needs a new one.
fn nearest<'a>(shared: &Shared, targets: Vec<&'a Target>) -> Vec<&'a Target> {
    if targets.len() <= MOST_PREFERRED {
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
    ranked.truncate(MOST_PREFERRED);
    ranked
}

fn cost(shared: &Shared, wanted: &Wanted, target: &Target, now: Instant) -> f64 {
    let registration = &target.registration;
    let is_near = registration.data_centre == shared.settings.borrow().data_centre;
    let distance = match wanted.kind {
        _ if is_near => 1.0,
        Kind::Download => FAR_DOWNLOAD,
        _ => FAR,
    };
    shared.with_peer(&registration.incarnation, |peer| {
        peer.load.cost(now, registration.slots) * distance
    })
}

/// Tells whether a target takes one more request of this host.
fn has_place(shared: &Shared, wanted: &Wanted, target: &Target, now: Instant) -> bool {
    let share = shared.share();
    let registration = &target.registration;
    let slots = registration.slots;
    let most = share.count(slots * SLOT_SHARE, LEAST_PLACES);
    let spec = wanted.config.services.get(&wanted.service);
    let is_cold = target.cold_until > now;
    shared.with_peer(&registration.incarnation, |peer| {
        let own = peer.load.in_flight();
        let has_room = peer.load.has_room(now, f64::from(slots) * DEPTH);
        if !peer.breaker.is_closed(now) || own >= most || !has_room {
            return false;
        }
        if !is_cold && !peer.breaker.is_unproven() {
            return true;
        }
        let rate = spec.and_then(|spec| cold_rate(shared, registration, spec.cold_rate));
        rate.is_some_and(|rate| peer.cold.has_token(now, rate, 1.0))
    })
}

/// Returns the rate at which this host may send to a cold target, if it is one that may.
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
