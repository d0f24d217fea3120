//! Answers to the reports of other hosts.

use std::collections::BTreeSet;

use anyhow::{Context, Result};
use ragwortrill_core::{number::Offset, request::Fingerprint, time::Instant};
use ragwortrill_router::{
    crash::{Crash, Report as Crashes, Verdicts},
    load::Samples,
    registration::Incarnation,
};
use tokio::time::{sleep, timeout};

use super::{
    hold_time,
    message::{Changes, Report, Traffic, Update, WorkTime},
};
use crate::{
    crash,
    follow::{self, Topic},
    leaving,
    notice::Notices,
    rate_limit,
    shared::Shared,
    stop::Phase,
    uplink,
};

/// Returns whether this host reports to none, so that it evaluates the reported crashes itself.
fn is_root(shared: &Shared) -> bool {
    uplink::peer(shared).is_none()
}

/// Returns the verdicts on suspected requests, as evaluated by this host or by the one that it reports
/// to, and their version.
fn verdicts(shared: &Shared) -> (Verdicts, u64) {
    if is_root(shared) {
        let aggregator = shared.crash_aggregator.borrow();
        return (aggregator.verdicts(), aggregator.version());
    }
    let observer = shared.crash_observer.borrow();
    (observer.verdicts().clone(), shared.uplink.verdicts())
}

/// Returns what this host tells the hosts that report to it.
fn notices(shared: &Shared, now: Instant) -> Notices {
    Notices {
        verdicts: verdicts(shared).0,
        quarantined: shared.crash_observer.borrow().news(now),
        rate_limits: rate_limit::known(shared),
        leaving: leaving::known(shared),
    }
}

fn reported_crashes(
    crashes: Vec<(Incarnation, Vec<Fingerprint>)>,
    answered: BTreeSet<Fingerprint>,
) -> Crashes {
    let crash = |(target, in_flight)| Crash { target, in_flight };
    Crashes {
        crashes: crashes.into_iter().map(crash).collect(),
        answered,
    }
}

/// Waits until this host may answer one more report. A report that is dropped while others are before
/// it takes no turn.
async fn await_turn(shared: &Shared) {
    let due = shared.now();
    let mut pace = shared.pace.lock().await;
    // Turns count from when the reports were due, so a late event loop does not lengthen the round.
    let turn = pace.allot(due);
    sleep(turn.since(shared.now()).as_duration()).await;
}

/// Adds the traffic and the work times of another host to those of this host. A host that reports to
/// another one passes them on.
fn merge_load(shared: &Shared, now: Instant, traffic: &Traffic, work_times: &[WorkTime]) {
    let is_root = is_root(shared);
    let mut known = shared.traffic.borrow_mut();
    for (service, counts) in traffic {
        let traffic = known.entry(service.clone()).or_default();
        match is_root {
            true => traffic.merge(now, counts),
            false => traffic.relay(now, counts),
        }
    }
    drop(known);
    for (id, sum_us, count) in work_times {
        let fleet = shared.fleet.borrow();
        let target = fleet.get(id);
        let incarnation = target.map(|target| target.registration.incarnation.clone());
        drop(fleet);
        let samples = Samples {
            sum_us: *sum_us,
            count: *count,
        };
        if let Some(incarnation) = incarnation {
            shared.with_endpoint(&incarnation, |endpoint| match is_root {
                true => endpoint.load.add_samples(samples),
                false => endpoint.load.relay_samples(samples),
            });
        }
    }
}

/// Records the crashes and answered suspects of another host, for the evaluation.
fn merge_crashes(shared: &Shared, report: Crashes) {
    match is_root(shared) {
        true => crash::merge(shared, report),
        false => shared.crash_observer.borrow_mut().relay(&report),
    }
}

/// Responds to a host's report when the operators' or ownership topic has a new record, or after
/// `hold_time`, at the pace of [`pace::Pace`]. What is new by then is gathered in one response.
pub(crate) async fn handle_report(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let received_at = shared.now();
    let report: Report = ciborium::from_reader(body).context("the report can't be read")?;
    shared.metrics.record_report(body.len());
    shared.tally.add_report(body.len());
    let stated = report.rate_limits.clone();
    rate_limit::merge(shared, received_at, stated, rate_limit::Source::Report);
    leaving::merge(shared, report.leaving, leaving::Source::Report);
    let has_news = |topic| {
        let from = report.offsets.get(&topic).copied();
        follow::next_offset(shared, topic).map(|next| next.0) > from
    };
    merge_crashes(shared, reported_crashes(report.crashes, report.acquitted));
    let (_, version) = verdicts(shared);
    let lacks_list = |topic: &Topic| has_news(*topic);
    let is_due = has_news(Topic::Ownership)
        || has_news(Topic::Operators)
        || report.unread.iter().any(lacks_list)
        || report.verdicts != version
        || report.is_urgent;
    for fingerprint in report.quarantined {
        let mut observer = shared.crash_observer.borrow_mut();
        observer.quarantine(received_at, fingerprint, false);
    }
    merge_load(shared, received_at, &report.traffic, &report.work_times);
    if !is_due && !shared.stop.has_reached(Phase::Stopping) {
        let own = shared.settings.borrow().host.to_string();
        let _ = timeout(hold_time(shared, &own), shared.update_ready.notified()).await;
    }
    await_turn(shared).await;
    let now = shared.now();
    let replicas = shared.replicas.borrow();
    let changes = |topic: Topic, from: Option<u64>| {
        let replica = replicas.get(&topic)?;
        Some((
            topic,
            Changes::since(replica, from.map(Offset), now, report.reads_compressed)?,
        ))
    };
    let timeline = shared.timeline.get().unwrap_or_default();
    // Offsets of another timeline say nothing about what the host lacks.
    let is_same = report.timeline == timeline;
    let offsets = report.offsets.iter().filter(|_| is_same);
    let unread = report.unread.iter().filter(|_| is_same);
    let requested = offsets
        .map(|(topic, from)| (*topic, Some(*from)))
        .chain(unread.map(|topic| (*topic, None)));
    let mut notices = notices(shared, now);
    let digests = notices.digests(now);
    if let Some(known) = &report.known {
        notices.omit(now, known, &report.rate_limits);
    }
    let update = Update {
        timeline,
        held_us: now.since(received_at).0,
        topics: requested
            .filter_map(|(topic, from)| changes(topic, from))
            .collect(),
        digests: Some(digests),
        suspects: notices.verdicts.suspects,
        held_suspects: notices.verdicts.held,
        quarantined: notices.quarantined.into_iter().collect(),
        verdicts: verdicts(shared).1,
        rate_limits: notices.rate_limits,
        leaving: notices.leaving,
        is_outage: !shared.failed_topics.borrow().is_empty(),
        is_cut_off: shared.uplink.is_cut_off(now),
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&update, &mut encoded)?;
    shared.metrics.record_report_answer(encoded.len());
    shared.tally.add_answer(encoded.len());
    Ok(encoded)
}
