//! Finds out whether this host has lost its link to a target or the target itself has ended, by asking
//! other hosts.

use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use futures_util::future;
use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    links::Verdict,
    registration::Incarnation,
    survey::{self as schedule, Admission, Doubt, REPEAT_INTERVAL},
};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{admission, crash, probe, shared::Shared, survey};

/// Path of the question on the port between hosts.
pub(crate) const PATH: &str = "/reach";
/// Time after a connection that a target accepted until it is tried again. A process that ends closes
/// its connections and its listener one after the other.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Interval between two attempts to reach targets whose links are lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval after one of them answered.
const FOUND_INTERVAL: Duration = Duration::from_millis(50);
/// Targets that are tried at a time.
const MAX_RETRIES: usize = 4;
/// Time without an answer to a request, and of any target of its service, after which the link to its
/// target is doubted.
const SILENCE: Span = Span::from_millis(500);

/// Whether a host reaches a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum View {
    /// The target accepted a connection.
    Reached,
    /// The target refused a connection.
    Refused,
    /// The target did not answer.
    Silent,
    /// The host has lost links itself.
    Unknown,
}

/// Why a target is checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// A connection to it could not be opened.
    Connect(View),
    /// A connection to it broke.
    Break,
    /// It sent nothing for some time.
    Silence,
}

impl From<&io::Error> for Cause {
    fn from(error: &io::Error) -> Self {
        Self::Connect(probe::view(error))
    }
}

impl From<Cause> for schedule::Cause {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Connect(_) => Self::Connect,
            Cause::Break => Self::Break,
            Cause::Silence => Self::Silence,
        }
    }
}

/// Returns whether the link to a target is lost.
pub(crate) fn is_lost(shared: &Shared, service: &name::Service, target: &Incarnation) -> bool {
    shared.links.borrow().is_lost(service, target)
}

/// Returns whether a target waits for its survey after a connection to it failed. It gets no requests
/// meanwhile, since it may have ended.
pub(crate) fn is_unreached(shared: &Shared, target: &Incarnation) -> bool {
    let now = shared.now();
    shared.surveys.borrow().is_unreached(now, target)
}

/// Returns whether the link to a target is lost, or may be since the target waits for its first survey.
/// Its silence says nothing about it then.
pub(crate) fn may_be_lost(shared: &Shared, service: &name::Service, target: &Incarnation) -> bool {
    is_lost(shared, service, target) || shared.surveys.borrow().is_undecided(target)
}

/// Returns whether this host has lost its links to most targets of a service, so that it can't lead.
pub(crate) fn is_cut_off(shared: &Shared) -> bool {
    let links = shared.links.borrow();
    if links.is_empty() {
        return false;
    }
    let fleet = shared.fleet.borrow();
    let mut counts: BTreeMap<&name::Service, (usize, usize)> = BTreeMap::new();
    for target in fleet.targets().values() {
        let registration = &target.registration;
        let (lost, all) = counts.entry(&registration.service).or_default();
        *lost += usize::from(links.is_lost(&registration.service, &registration.incarnation));
        *all += 1;
    }
    counts.values().any(|(lost, all)| lost * 2 > *all)
}

/// Checks a target to which a connection failed: whether it has ended, or the link to it is lost.
/// Returns once that is known, so that a request is not sent to another target before; at once if the
/// target has to wait for its survey, during which [`is_unreached`] keeps requests from it.
pub(crate) async fn check(
    shared: &Rc<Shared>,
    service: &name::Service,
    target: &Incarnation,
    cause: Cause,
) {
    if !crash::is_serving(shared, target) || is_lost(shared, service, target) {
        return;
    }
    let doubt = Doubt {
        service: service.clone(),
        target: target.clone(),
        cause: cause.into(),
    };
    let now = shared.now();
    let admission = shared.surveys.borrow_mut().request(now, doubt.clone());
    match admission {
        Admission::Recent => {}
        Admission::Waits => {
            shared.surveys_changed.notify_one();
            if !shared.links.borrow().is_empty() {
                shared.reroute_due.notify_one();
            }
        }
        Admission::Started => {
            let own = match cause {
                Cause::Connect(view) => Some(view),
                Cause::Break | Cause::Silence => None,
            };
            // A task of its own, since the request may be cancelled.
            let place = Place::new(shared);
            let _ = tokio::task::spawn_local(examine(place, doubt, own)).await;
        }
    }
}

/// Starts the surveys that wait for others, for as long as the host runs.
pub(crate) async fn run_surveys(shared: Rc<Shared>) {
    loop {
        let ready_at = shared.surveys.borrow().ready_at();
        let Some(ready_at) = ready_at else {
            shared.surveys_changed.notified().await;
            continue;
        };
        let wait = ready_at.since(shared.now()).as_duration();
        // A survey that finds a lost link lets the next one start earlier.
        let _ = timeout(wait, shared.surveys_changed.notified()).await;
        let is_open = |doubt: &Doubt| {
            let Doubt {
                service, target, ..
            } = doubt;
            crash::is_serving(&shared, target) && !is_lost(&shared, service, target)
        };
        let now = shared.now();
        let next = shared.surveys.borrow_mut().start(now, is_open);
        if let Some(doubt) = next {
            tokio::task::spawn_local(examine(Place::new(&shared), doubt, None));
        }
    }
}

/// Place of a survey among those under way, until it is dropped.
struct Place {
    shared: Rc<Shared>,
}

impl Place {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.metrics.record_survey();
        Self {
            shared: shared.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.surveys.borrow_mut().finish();
        self.shared.surveys_changed.notify_one();
    }
}

/// Examines a doubted target, of which this host may have its own view already.
async fn examine(place: Place, doubt: Doubt, own: Option<View>) {
    let own = match own {
        Some(view) => view,
        None => probe::run(&place.shared, &doubt.target).await,
    };
    if own != View::Reached {
        return settle(&place.shared, &doubt, own).await;
    }
    if doubt.cause == schedule::Cause::Silence {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(RECHECK_DELAY).await;
        let again = probe::run(&place.shared, &doubt.target).await;
        if again != View::Reached {
            settle(&place.shared, &doubt, again).await;
        }
    });
}

/// Asks other hosts about a target that this host does not reach, and applies what follows.
async fn settle(shared: &Rc<Shared>, doubt: &Doubt, own: View) {
    let Doubt {
        service, target, ..
    } = doubt;
    let survey = survey::run(shared, target, own).await;
    let verdict = survey.verdict();
    log::info!(
        target = target.id.as_str(), own = format!("{own:?}"), reached = survey.reached,
        refused = survey.refused, asked = survey.asked, verdict = format!("{verdict:?}");
        "target can't be reached from this host"
    );
    match verdict {
        Verdict::Lost => {
            shared.surveys.borrow_mut().record_lost();
            lose(shared, service, target);
        }
        Verdict::Ended => crash::record_end(shared, target),
        Verdict::Open => {}
    }
}

/// Records that the link to a target is lost. What its failures seemed to say about the target is
/// forgotten.
fn lose(shared: &Rc<Shared>, service: &name::Service, target: &Incarnation) {
    let has_answered = has_answered(shared, service, shared.now() - REPEAT_INTERVAL);
    let mut links = shared.links.borrow_mut();
    links.record_lost(service, target, has_answered);
    drop(links);
    log::warn!(target = target.id.as_str(), service = service.as_str(); "link to a target is lost; other hosts reach it");
    shared.with_endpoint(target, |endpoint| {
        endpoint.breaker = Default::default();
        endpoint.restart_detector = Default::default();
        endpoint.pool.clear();
    });
    shared.crash_observer.borrow_mut().forget(target);
    shared.links_changed.notify_waiters();
    shared.reroute_due.notify_one();
}

/// Returns whether any target of a service has answered this host since a time.
fn has_answered(shared: &Shared, service: &name::Service, since: Instant) -> bool {
    let fleet = shared.fleet.borrow();
    let mut serving = fleet.serving(service);
    serving.any(|target| {
        let incarnation = &target.registration.incarnation;
        let answered_at = shared.with_endpoint(incarnation, |e| e.load.answered_at());
        answered_at > since
    })
}

/// Tries to reach targets whose links are lost, for as long as the host runs.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        if shared.links.borrow().is_empty() {
            shared.links_changed.notified().await;
            continue;
        }
        sleep(RETRY_INTERVAL).await;
        while retry(&shared).await {
            sleep(FOUND_INTERVAL).await;
        }
    }
}

/// Tries some of the lost links. Returns whether one is found again and others are left.
async fn retry(shared: &Rc<Shared>) -> bool {
    forget_ended(shared);
    let mut lost: Vec<(name::Service, Incarnation)> = {
        let links = shared.links.borrow();
        links.lost().map(|(s, t)| (s.clone(), t.clone())).collect()
    };
    lost.shuffle(&mut *shared.random.borrow_mut());
    lost.truncate(MAX_RETRIES);
    let probes = lost.iter().map(|(_, target)| probe::run(shared, target));
    let views = future::join_all(probes).await;
    let mut is_found = false;
    for ((service, target), view) in lost.iter().zip(views) {
        if view == View::Reached {
            is_found = true;
            shared.links.borrow_mut().record_reached(service, target);
            log::info!(target = target.id.as_str(), service = service.as_str(); "link to a target is found again");
        }
    }
    if is_found {
        shared.links_changed.notify_waiters();
        admission::dispatch(shared);
    }
    is_found && !shared.links.borrow().is_empty()
}

fn forget_ended(shared: &Shared) {
    let fleet = shared.fleet.borrow();
    let is_registered = |target: &Incarnation| {
        let known = fleet.get(&target.id);
        known.is_some_and(|known| &known.registration.incarnation == target)
    };
    shared.links.borrow_mut().retain(is_registered);
}

/// Completes when the link to a target of a request that waits for its answer is lost. Checks it if
/// the target stays silent.
pub(crate) async fn lost(
    shared: &Rc<Shared>,
    service: &name::Service,
    target: &Incarnation,
    sent: Instant,
) {
    let mut wait = SILENCE.as_duration();
    loop {
        let changed = shared.links_changed.notified();
        if is_lost(shared, service, target) {
            return;
        }
        if timeout(wait, changed).await.is_err() {
            // A single target may just be slow, and a check takes one of its connections.
            if !has_answered(shared, service, sent) {
                check(shared, service, target, Cause::Silence).await;
            }
            wait = REPEAT_INTERVAL.as_duration();
        }
    }
}
