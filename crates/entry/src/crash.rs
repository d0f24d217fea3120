//! Observation of targets that crash, and refusal of the requests that crash them.

use ragwortrill_core::{request::Fingerprint, time::Instant};
use ragwortrill_router::{crash::Report, registration::Incarnation};

use crate::{
    reply::{Problem, RETRY_AFTER_HELD_MS, RETRY_AFTER_QUARANTINED_MS},
    shared::Shared,
};

/// Records a request that was sent to a target and got no answer. A target that drains or whose
/// entry is gone is about to end, so its end would be no crash.
pub(crate) fn record_unanswered(
    shared: &Shared,
    target: &Incarnation,
    fingerprint: Fingerprint,
    sent_at: Instant,
) {
    if is_serving(shared, target) {
        let mut observer = shared.crash_observer.borrow_mut();
        observer.record_unanswered(target, fingerprint, sent_at);
    }
}

/// Records that a target ended without having drained.
pub(crate) fn record_end(shared: &Shared, target: &Incarnation) {
    let now = shared.now();
    shared
        .crash_aggregator
        .borrow_mut()
        .record_loss(now, target);
    let crash = shared.crash_observer.borrow_mut().record_end(now, target);
    if let Some(crash) = crash {
        let fingerprints = crash.in_flight.iter().map(Fingerprint::to_string);
        let fingerprints: Vec<String> = fingerprints.collect();
        log::info!(
            target = target.id.as_str(), born = target.start_ms,
            fingerprints = fingerprints.join(" ");
            "target ended with requests of this host in flight"
        );
    }
}

/// Returns whether a target is registered and does not drain.
pub(crate) fn is_serving(shared: &Shared, target: &Incarnation) -> bool {
    let fleet = shared.fleet.borrow();
    let known = fleet.get(&target.id);
    known
        .is_some_and(|known| &known.registration.incarnation == target && !fleet.is_draining(known))
}

/// Returns why requests with a fingerprint are refused, if they are.
pub(crate) fn refusal(shared: &Shared, fingerprint: Fingerprint) -> Option<Problem> {
    let observer = shared.crash_observer.borrow();
    if observer.is_quarantined(shared.now(), fingerprint) {
        let reason = "requests like this one crashed their targets";
        return Some(Problem::refusal(reason, RETRY_AFTER_QUARANTINED_MS));
    }
    let reason = "targets crashed under requests like this one, and the cause is being determined";
    let problem = Problem::refusal(reason, RETRY_AFTER_HELD_MS);
    observer.is_held(fingerprint).then_some(problem)
}

/// Merges the crashes and answered suspects that a host observed, and tells all hosts at once what
/// follows.
pub(crate) fn merge(shared: &Shared, report: Report) {
    let now = shared.now();
    let mut aggregator = shared.crash_aggregator.borrow_mut();
    let version = aggregator.version();
    for crash in report.crashes {
        let fingerprints: Vec<String> =
            crash.in_flight.iter().map(Fingerprint::to_string).collect();
        log::info!(
            target = crash.target.id.as_str(), born = crash.target.start_ms,
            in_flight = crash.in_flight.len(), fingerprints = fingerprints.join(" ");
            "target crashed with requests in flight"
        );
        aggregator.add(now, crash);
    }
    for fingerprint in report.answered {
        aggregator.clear_suspect(fingerprint);
    }
    let is_changed = aggregator.version() != version;
    let verdicts = aggregator.verdicts();
    drop(aggregator);
    shared
        .crash_observer
        .borrow_mut()
        .set_verdicts(now, verdicts);
    if is_changed {
        shared.update_ready.notify_waiters();
    }
}

/// Evaluates the reported crashes, and refuses the requests that crash their targets.
pub(crate) fn evaluate(shared: &Shared) {
    let now = shared.now();
    let mut aggregator = shared.crash_aggregator.borrow_mut();
    let version = aggregator.version();
    let found = aggregator.decide(now);
    if aggregator.version() == version {
        return;
    }
    let mut observer = shared.crash_observer.borrow_mut();
    observer.set_verdicts(now, aggregator.verdicts());
    for fingerprint in found {
        log::warn!(fingerprint = fingerprint.to_string(); "requests with this fingerprint are quarantined: they crash their targets");
        observer.quarantine(now, fingerprint, false);
    }
    shared.update_ready.notify_waiters();
}
