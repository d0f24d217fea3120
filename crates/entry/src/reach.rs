//! Finds out whether this host has lost its link to a target or the target itself has ended, by asking
//! other hosts.

use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::future;
use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    links::{Survey, Verdict},
    registration::Incarnation,
};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    admission,
    call::{Call, Client},
    connection::Connection,
    crash, hop,
    shared::Shared,
};

/// Path of the question on the port between hosts.
pub(crate) const PATH: &str = "/reach";
/// Timeout of a connection that shows whether a host reaches a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a connection that a target accepted until it is tried again. A process that ends closes
/// its connections and its listener one after the other.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a question to another host, which probes the target.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Hosts that are asked at a time.
const HOSTS_PER_ROUND: usize = 4;
/// Rounds of questions about one target.
const MAX_ROUNDS: usize = 2;
/// Minimum time between two surveys of a target.
const SURVEY_INTERVAL: Span = Span::from_millis(1_000);
/// Interval between two attempts to reach targets whose links are lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Targets that are tried at a time.
const MAX_RETRIES: usize = 4;
/// Time without an answer to a request, and of any target of its service, after which the link to its
/// target is doubted.
const SILENCE: Span = Span::from_millis(500);
/// Largest answer of another host.
const MAX_ANSWER_BYTES: usize = 1_024;

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
        Self::Connect(view(error))
    }
}

fn view(error: &io::Error) -> View {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => View::Refused,
        _ => View::Silent,
    }
}

async fn probe(shared: &Shared, target: &Incarnation) -> View {
    let address = (shared.protocol.dial)(target.address);
    match Connection::open(address, PROBE_TIMEOUT).await {
        Ok(_) => View::Reached,
        Err(error) => view(&error),
    }
}

/// Returns whether the link to a target is lost.
pub(crate) fn is_lost(shared: &Shared, service: &name::Service, target: &Incarnation) -> bool {
    shared.links.borrow().is_lost(service, target)
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
/// Returns once that is known, so that a request is not sent to another target before.
pub(crate) async fn check(
    shared: &Rc<Shared>,
    service: &name::Service,
    target: &Incarnation,
    cause: Cause,
) {
    if !crash::is_serving(shared, target) || is_lost(shared, service, target) {
        return;
    }
    if !is_survey_due(shared, target) {
        return;
    }
    let (shared, service, target) = (shared.clone(), service.clone(), target.clone());
    // A task of its own, since the request may be cancelled.
    let checking = tokio::task::spawn_local(async move {
        let own = match cause {
            Cause::Connect(view) => view,
            Cause::Break | Cause::Silence => probe(&shared, &target).await,
        };
        if own != View::Reached {
            return settle(&shared, &service, &target, own).await;
        }
        if cause == Cause::Silence {
            return;
        }
        tokio::task::spawn_local(async move {
            sleep(RECHECK_DELAY).await;
            let again = probe(&shared, &target).await;
            if again != View::Reached {
                settle(&shared, &service, &target, again).await;
            }
        });
    });
    let _ = checking.await;
}

/// Returns whether a target was not surveyed recently, and records that it is now.
fn is_survey_due(shared: &Shared, target: &Incarnation) -> bool {
    let now = shared.now();
    let mut surveyed_at = shared.surveyed_at.borrow_mut();
    surveyed_at.retain(|_, at| now.since(*at) < SURVEY_INTERVAL);
    let is_due = !surveyed_at.contains_key(target);
    surveyed_at.entry(target.clone()).or_insert(now);
    is_due
}

/// Asks other hosts about a target that this host does not reach, and applies what follows.
async fn settle(shared: &Rc<Shared>, service: &name::Service, target: &Incarnation, own: View) {
    let survey = survey(shared, target, own).await;
    let verdict = survey.verdict();
    log::info!(
        target = target.id.as_str(), own = format!("{own:?}"), reached = survey.reached,
        refused = survey.refused, asked = survey.asked, verdict = format!("{verdict:?}");
        "target can't be reached from this host"
    );
    match verdict {
        Verdict::Lost => lose(shared, service, target),
        Verdict::Ended => crash::record_end(shared, target),
        Verdict::Open => {}
    }
}

async fn survey(shared: &Rc<Shared>, target: &Incarnation, own: View) -> Survey {
    let mut survey = Survey {
        refused: u32::from(own == View::Refused),
        ..Survey::default()
    };
    let hosts = others(shared);
    for round in hosts.chunks(HOSTS_PER_ROUND).take(MAX_ROUNDS) {
        let questions = round.iter().map(|(_, address)| ask(*address, target));
        let views = future::join_all(questions).await;
        survey.asked += round.len() as u32;
        for ((host, _), view) in round.iter().zip(views) {
            match view.unwrap_or(View::Unknown) {
                View::Reached => {
                    survey.reached += 1;
                    hop::add_helper(shared, host);
                }
                View::Refused => survey.refused += 1,
                View::Silent => {}
                View::Unknown => continue,
            }
            survey.answered += 1;
        }
        if survey.answered > 0 {
            break;
        }
    }
    survey
}

/// Asks other hosts whether they still reach targets whose links are lost, so that requests can be
/// forwarded to them.
pub(crate) async fn refresh_helpers(shared: &Rc<Shared>) {
    let lost = shared.links.borrow().lost().next().map(|(_, t)| t.clone());
    if let Some(target) = lost {
        survey(shared, &target, View::Silent).await;
    }
}

/// Returns the other hosts, in a random order.
fn others(shared: &Shared) -> Vec<(String, SocketAddr)> {
    let hosts = shared.hosts.borrow();
    let own = shared.settings.borrow().host.to_string();
    let others = hosts.iter().filter(|(host, _)| **host != own);
    let others = others.filter_map(|(host, known)| Some((host.clone(), known.address?)));
    let mut others: Vec<(String, SocketAddr)> = others.collect();
    others.shuffle(&mut *shared.random.borrow_mut());
    others
}

async fn ask(address: SocketAddr, target: &Incarnation) -> Result<View> {
    let mut body = Vec::new();
    ciborium::into_writer(target, &mut body)?;
    let call = Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    };
    let mut client = Client::new(address, MAX_ANSWER_BYTES);
    let reply = client.call(&call, QUESTION_TIMEOUT).await?;
    if reply.status != 200 {
        // Hosts of an earlier release may not know the path.
        bail!("the host answered with status {}", reply.status);
    }
    ciborium::from_reader(reply.body.as_ref()).context("the host's answer can't be decoded")
}

/// Answers another host's question whether this one reaches a target.
pub(crate) async fn handle_question(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let target: Incarnation = ciborium::from_reader(body).context("the target can't be read")?;
    let view = match probe(shared, &target).await {
        View::Reached => View::Reached,
        // Its own links may be lost as well.
        _ if !shared.links.borrow().is_empty() => View::Unknown,
        view => view,
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&view, &mut encoded)?;
    Ok(encoded)
}

/// Records that the link to a target is lost. What its failures seemed to say about the target is
/// forgotten.
fn lose(shared: &Rc<Shared>, service: &name::Service, target: &Incarnation) {
    let has_answered = has_answered(shared, service, shared.now() - SURVEY_INTERVAL);
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
    admission::reroute(shared);
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
        while retry(&shared).await {}
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
    let probes = lost.iter().map(|(_, target)| probe(shared, target));
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
            wait = SURVEY_INTERVAL.as_duration();
        }
    }
}
