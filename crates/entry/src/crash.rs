//! Observation of targets that crash, and refusal of the requests that crash them.

use ragwortrill_core::{request::Fingerprint, time::Instant};
use ragwortrill_router::{
    crash::{Evaluated, Report},
    registration::Incarnation,
};

use crate::{
    reply::{Problem, RETRY_AFTER_HELD_MS, RETRY_AFTER_QUARANTINED_MS},
    shared::Shared,
};

/// Crashes of one evaluation that have a line of their own in the log.
const MAX_LOGGED_CRASHES: usize = 4;
/// Fingerprints that are logged of the requests in flight at one end.
const MAX_LOGGED_FINGERPRINTS: usize = 16;

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

/// Records a request during which the connection to its target broke, if its end would be a crash.
pub(crate) fn record_break(
    shared: &Shared,
    target: &Incarnation,
    fingerprint: Fingerprint,
    sent_at: Instant,
) {
    if is_serving(shared, target) {
        let mut observer = shared.crash_observer.borrow_mut();
        observer.record_break(target, fingerprint, sent_at);
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
        let fingerprints = crash.in_flight.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints: Vec<String> = fingerprints.map(Fingerprint::to_string).collect();
        log::info!(
            target = target.id.as_str(), born = target.start_ms,
            in_flight = crash.in_flight.len(), fingerprints = fingerprints.join(" ");
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

/// Merges the crashes and answered suspects that a host observed. They are evaluated at a fixed pace.
pub(crate) fn merge(shared: &Shared, report: Report) {
    let now = shared.now();
    let mut aggregator = shared.crash_aggregator.borrow_mut();
    for crash in report.crashes {
        aggregator.add(now, crash);
    }
    for fingerprint in report.answered {
        aggregator.clear_suspect(fingerprint);
    }
}

/// Evaluates the reported crashes if an evaluation is due, refuses the requests that crash their
/// targets, and tells all hosts at once what follows.
pub(crate) fn evaluate(shared: &Shared) {
    let now = shared.now();
    let mut aggregator = shared.crash_aggregator.borrow_mut();
    let version = aggregator.version();
    let found = aggregator.decide(now);
    log_evaluated(&aggregator.take_evaluated());
    let is_changed = !found.is_empty() || aggregator.version() != version;
    let mut observer = shared.crash_observer.borrow_mut();
    // A host that has just begun to lead has the verdicts of the earlier leader.
    observer.set_verdicts(now, aggregator.verdicts());
    for fingerprint in found {
        log::warn!(fingerprint = fingerprint.to_string(); "requests with this fingerprint are quarantined: they crash their targets");
        observer.quarantine(now, fingerprint, false);
    }
    if is_changed {
        shared.update_ready.notify_waiters();
    }
}

fn log_evaluated(crashes: &[Evaluated]) {
    for crash in crashes.iter().take(MAX_LOGGED_CRASHES) {
        log::info!(
            target = crash.target.id.as_str(), born = crash.target.start_ms,
            suspects = crash.suspects, lost = crash.lost;
            "target crashed with requests in flight"
        );
    }
    if crashes.len() > MAX_LOGGED_CRASHES {
        log::info!(crashes = crashes.len(); "more targets crashed with requests in flight");
    }
}
