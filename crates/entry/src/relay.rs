//! Exchange between hosts: each reports the load of keys and targets to the leader, or to a relay that
//! passes it on, and receives the store's new records. This saves calls to the store; a host whose
//! reports are not answered reads the store itself.

mod answer;
mod message;

use std::{rc::Rc, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use ragwortrill_core::{
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::{crash::Report as Crashes, pace, tree::Role, update::Timing};
use tokio::time::sleep;

pub(crate) use self::answer::handle_report;
pub use self::message::{Changes, Known, Report, Update};
use crate::{
    apply,
    call::{Call, Client},
    crash,
    follow::{self, Topic},
    lease::Rank,
    leaving, rate_limit,
    shared::Shared,
    uplink::{self, Peer},
};

/// Path of the exchange on the port between hosts.
pub(crate) const PATH: &str = "/exchange";
/// Delay between the leader's response and the next report.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest delay between a report without a response and the next one. It doubles with each failure.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a host holds a report before it responds, while nothing changes.
const HOLD: Duration = Duration::from_millis(250);
/// Number of hosts up to which reports are held for `HOLD`. With more hosts, the time grows in
/// proportion, so that the leader's rate of responses stays the same.
const HOLD_HOSTS: u32 = 16;
/// Longest time for which the leader holds a report while no relays stand between.
const MAX_HOLD: Duration = Duration::from_millis(550);
/// Time allowed for the leader's response in addition to the time for which it holds the report.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time from the leader's response until it has arrived, after which the host reads the store itself.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Largest response of the leader, in which it sends all records that a host lacks.
const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// Exchange with one host, while it is the one to report to.
struct Session {
    peer: Peer,
    client: Client,
}

/// What reports depend on: the leader, its term, and the host to report to.
type Situation = (Option<String>, Rank, Option<Peer>);

/// Sends reports for as long as the host runs.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut session: Option<Session> = None;
    let mut situation = Situation::default();
    let mut known = Known::default();
    let mut delay = REPORT_INTERVAL;
    let mut is_urgent = false;
    loop {
        sleep(delay).await;
        let leader = shared.leader.borrow().clone();
        let current = (leader, shared.latest_term.get(), uplink::peer(&shared));
        if current != situation {
            // A new leader, or one that leads again, knows none of the crashes, and a relay that is
            // lost may not have passed them on.
            shared.crash_observer.borrow_mut().report_again();
            situation = current;
            known = Known::default();
            delay = REPORT_INTERVAL;
        }
        let Some(peer) = situation.2.clone() else {
            merge_own(&shared);
            known = Known::default();
            session = None;
            delay = REPORT_INTERVAL;
            continue;
        };
        let relays = u64::from(peer.is_relay);
        shared.fallback.borrow_mut().set_relays(relays);
        let crashes = shared.crash_observer.borrow().report();
        let report = Report {
            is_urgent,
            ..take_report(&shared, &crashes, &known)
        };
        let open = session.take().filter(|open| open.peer == peer);
        let open = session.insert(open.unwrap_or_else(|| Session::new(peer)));
        match open.send(&shared, &report, &mut known).await {
            Ok(()) => {
                is_urgent = false;
                delay = REPORT_INTERVAL;
                shared.fallback.borrow_mut().answer_arrived();
                let mut observer = shared.crash_observer.borrow_mut();
                observer.acknowledge(shared.now(), &crashes);
            }
            Err(error) => {
                log::debug!(host = open.peer.host, error = format!("{error:#}"); "report not answered; retrying");
                is_urgent = open.peer.is_relay;
                delay = match is_urgent {
                    true => REPORT_INTERVAL,
                    false => (delay * 2).min(MAX_REPORT_INTERVAL),
                };
                // A part of the answer may have been applied.
                known = Known::default();
                record_failure(&shared, &open.peer);
            }
        }
    }
}

/// Records that a host did not answer. Another relay replaces one that is lost.
fn record_failure(shared: &Shared, peer: &Peer) {
    let now = shared.now();
    shared.fallback.borrow_mut().answer_failed(now);
    if peer.is_relay {
        shared.uplink.record_lost(now, &peer.host);
        log::info!(host = peer.host; "relay does not answer; another one replaces it");
    }
}

/// Merges the crashes that this host observed, since it leads itself or there is no host to report to.
fn merge_own(shared: &Shared) {
    let crashes = shared.crash_observer.borrow().report();
    crash::merge(shared, crashes.clone());
    let mut observer = shared.crash_observer.borrow_mut();
    observer.acknowledge(shared.now(), &crashes);
    drop(observer);
    crash::evaluate(shared);
    shared.uplink.record_root(shared.now());
    let mut fallback = shared.fallback.borrow_mut();
    fallback.answer_arrived();
    fallback.set_relays(0);
}

/// Returns how long a host holds the report of another one while nothing changes.
fn hold_time(shared: &Shared, host: &str) -> Duration {
    let reporters = uplink::reporters(shared, host) as u32;
    let usual = match uplink::tree(shared).has_relays() {
        true => HOLD,
        false => (HOLD * reporters.max(HOLD_HOSTS) / HOLD_HOSTS).min(MAX_HOLD),
    };
    usual.max(round(shared, host))
}

/// Returns the time in which a host answers each of those that report to it once.
fn round(shared: &Shared, host: &str) -> Duration {
    pace::round(uplink::reporters(shared, host)).as_duration()
}

fn take_report(shared: &Shared, crashes: &Crashes, known: &Known) -> Report {
    let offset = |topic| {
        let replicas = shared.replicas.borrow();
        let next = replicas
            .get(&topic)
            .and_then(|replica| replica.next_offset());
        next.map(|next| (topic, next.0))
    };
    let rate_limits = rate_limit::own(shared);
    let quarantined = shared.crash_observer.borrow().unwritten(shared.now());
    let mut traffic = shared.traffic.borrow_mut();
    let mut endpoints = shared.endpoints.borrow_mut();
    let work_times = endpoints.iter_mut().filter_map(|(incarnation, endpoint)| {
        let samples = endpoint.load.take_samples();
        (samples.count > 0).then(|| (incarnation.id.clone(), samples.sum_us, samples.count))
    });
    let is_unread = |topic: &Topic| offset(*topic).is_none();
    let failed = shared.failed_topics.borrow();
    // A host that reports to a relay gets its first lists from it.
    let is_leaf = uplink::role(shared) == Role::Leaf;
    let wanted = |topic: &Topic| is_unread(topic) && (is_leaf || failed.contains(topic));
    Report {
        timeline: shared.timeline.get().unwrap_or_default(),
        unread: Topic::ALL.into_iter().filter(wanted).collect(),
        reads_compressed: true,
        known: known.digests,
        offsets: Topic::ALL.into_iter().filter_map(offset).collect(),
        work_times: work_times.collect(),
        crashes: crashes
            .crashes
            .iter()
            .map(|crash| (crash.target.clone(), crash.in_flight.clone()))
            .collect(),
        acquitted: crashes.answered.clone(),
        quarantined: quarantined.into_iter().collect(),
        verdicts: known.version,
        rate_limits,
        leaving: leaving::own(shared),
        is_urgent: false,
        traffic: traffic
            .iter_mut()
            .map(|(service, traffic)| (service.clone(), traffic.take_unsent()))
            .collect(),
    }
}

impl Session {
    fn new(peer: Peer) -> Self {
        let client = Client::new(peer.address, MAX_UPDATE_BYTES);
        Self { peer, client }
    }

    /// Sends a report and applies the response. `known` is what the host has of the leader's notices.
    async fn send(
        &mut self,
        shared: &Rc<Shared>,
        report: &Report,
        known: &mut Known,
    ) -> Result<()> {
        let call = encode(report)?;
        let sent = shared.now();
        let host = &self.peer.host;
        let usual = hold_time(shared, host) + round(shared, host);
        let due = sent + Span::from_micros((usual + DELIVERY_TIME).as_micros() as u64);
        shared.fallback.borrow_mut().expect_answer(due);
        let reply = self.client.call(&call, usual + RESPONSE_MARGIN).await?;
        if reply.status != 200 {
            bail!("the host answered with status {}", reply.status);
        }
        let update: Update = ciborium::from_reader(reply.body.as_ref())
            .context("the host's response can't be decoded")?;
        // While no host reaches the leader, a relay that the store answers has recent records.
        if update.is_cut_off && update.is_outage && self.peer.is_relay {
            uplink::leave_relay(shared, host);
        }
        apply_update(shared, sent, update, known)
    }
}

fn encode(report: &Report) -> Result<Call> {
    let mut body = Vec::new();
    ciborium::into_writer(report, &mut body)?;
    Ok(Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    })
}

/// Applies the response to a report that was sent at `sent`.
fn apply_update(
    shared: &Rc<Shared>,
    sent: Instant,
    update: Update,
    known: &mut Known,
) -> Result<()> {
    let now = shared.now();
    let uplink = &shared.uplink;
    uplink.record_answer(now, update.is_outage, update.verdicts);
    known.learn(&update);
    let mut observer = shared.crash_observer.borrow_mut();
    for fingerprint in update.quarantined {
        observer.quarantine(now, fingerprint, false);
    }
    observer.set_verdicts(now, known.verdicts.clone());
    drop(observer);
    let timing = Timing {
        held: Span(update.held_us),
        age: Span::ZERO,
    };
    let told_at = timing.confirmed_at(sent).min(shared.now());
    let stated = update.rate_limits;
    rate_limit::merge(shared, told_at, stated, rate_limit::Source::Relay);
    leaving::merge(shared, update.leaving, leaving::Source::Relay);
    if shared
        .timeline
        .get()
        .is_none_or(|known| known < update.timeline)
    {
        shared.observe_timeline(update.timeline);
        return Ok(());
    }
    if shared.timeline.get() != Some(update.timeline) {
        return Ok(());
    }
    for (topic, changes) in update.topics {
        let timing = Timing {
            held: Span(update.held_us),
            age: Span(changes.age_us),
        };
        let confirmed_at = timing.confirmed_at(sent).min(shared.now());
        apply_changes(shared, confirmed_at, topic, changes)?;
    }
    Ok(())
}

fn apply_changes(
    shared: &Rc<Shared>,
    confirmed_at: Instant,
    topic: Topic,
    changes: Changes,
) -> Result<()> {
    let known = follow::next_offset(shared, topic);
    let (is_complete, next) = (changes.is_complete, Offset(changes.next_offset));
    if !known.map_or(is_complete, |known| known <= next) {
        return Ok(());
    }
    let records = changes.into_records()?;
    match is_complete {
        true => apply::apply_list(shared, topic, records, next),
        false => apply::apply_changes(shared, topic, records),
    }
    follow::advance(shared, topic, next, confirmed_at);
    Ok(())
}
