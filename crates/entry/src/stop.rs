//! Planned stop of a host, in phases.

use std::time::Duration;

use ragwortrill_core::time::{Instant, Span};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{admission, shared::Shared};

/// Time within which the load balancer notices that the host is not ready and sends it no new
/// connections. It asks once a second and needs two answers. A request that is sent later than
/// [`MAX_REFUSAL_DELAY`] must not be given up, so a busy host has 500 ms to close.
const UNREADY_NOTICE: Duration = Duration::from_millis(2_500);
/// Part of the grace period, in percent, after which no request is sent to a target any more.
const REFUSAL_PERCENT: u64 = 50;
/// Time after the start of the stop from which no request is sent to a target any more, however long
/// the grace period is: one that was sent later must not be given up.
const MAX_REFUSAL_DELAY: Span = Span::from_secs(3);
/// Part of the grace period, in percent, after which requests that still run at targets get a reply
/// of this host. Before the last sixth of the grace period, no running request may be given up.
const REPLY_PERCENT: u64 = 86;
/// Part of the grace period, in percent, after which the process ends even if callers have not
/// accepted their replies.
const EXIT_PERCENT: u64 = 95;
/// Interval between two checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the logging thread to write its last lines before the process ends.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(60);

/// Phase of a host until its process ends, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// No stop was requested.
    #[default]
    Serving,
    /// The host reports that it is not ready, and its replies close their connections.
    Stopping,
    /// Idle connections are closed, and requests that would have to wait are refused.
    Closing,
    /// Requests that are not at a target yet are refused.
    Refusing,
    /// Requests without a response of their target get a reply of this host.
    GivingUp,
}

/// The current phase, and a notification when it changes.
#[derive(Debug, Default)]
pub(crate) struct Progress(watch::Sender<Phase>);

impl Progress {
    /// Returns whether a phase has begun.
    pub(crate) fn has_reached(&self, phase: Phase) -> bool {
        *self.0.borrow() >= phase
    }

    /// Waits until a phase has begun.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut receiver = self.0.subscribe();
        // The sender outlives the wait, so the wait can't fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }

    fn enter(&self, phase: Phase) {
        self.0.send_replace(phase);
    }
}

/// Stops without cutting off a request: first the readiness check reports that the host is not
/// ready, then callers' connections are closed as they become idle, and at last requests that still
/// run get a reply of this host, so that those behind them on their connections get theirs.
pub(crate) async fn run(shared: &Shared, accepting: Vec<JoinHandle<()>>) {
    let began = shared.now();
    let grace = shared.settings.borrow().bounds.grace;
    log::info!(callers = shared.caller_connections.get(), requests = shared.active_requests.len(); "planned stop started");
    shared.stop.enter(Phase::Stopping);
    sleep(UNREADY_NOTICE.min(grace.as_duration() / 2)).await;
    log::info!(callers = shared.caller_connections.get(), requests = shared.active_requests.len(); "planned stop closes idle connections");
    shared.stop.enter(Phase::Closing);
    admission::reject_waiting(shared);
    // Connections that wait to be accepted must be counted before the host waits for all to end.
    for task in accepting {
        if let Err(error) = task.await {
            log::error!(error = error.to_string(); "task that accepts callers' connections failed");
        }
    }
    let end = |percent| began + grace.scale(percent, 100);
    let steps = [
        (
            end(REFUSAL_PERCENT).min(began + MAX_REFUSAL_DELAY),
            Phase::Refusing,
        ),
        (end(REPLY_PERCENT), Phase::GivingUp),
    ];
    let mut is_drained = false;
    for (until, phase) in steps {
        is_drained = is_drained || drain(shared, until).await;
        shared.stop.enter(phase);
    }
    let is_drained = is_drained || drain(shared, end(EXIT_PERCENT)).await;
    log_cut_requests(shared);
    log::info!(
        is_drained = is_drained, requests = shared.active_requests.len(),
        callers = shared.caller_connections.get();
        "host stopped"
    );
    sleep(LOG_FLUSH_TIME).await;
}

/// Waits until all callers' connections and requests have ended. Returns false if some have not
/// ended by a time.
async fn drain(shared: &Shared, until: Instant) -> bool {
    let drained = async {
        while shared.caller_connections.get() > 0 || shared.active_requests.len() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let left = until.since(shared.now());
    timeout(left.as_duration(), drained).await.is_ok()
}

/// Logs the requests that end without a complete reply because the process ends.
fn log_cut_requests(shared: &Shared) {
    let now = shared.now();
    for activity in shared.active_requests.list() {
        log::warn!(
            request = activity.request.as_str(), connection = activity.connection,
            waits_for = activity.stage.to_string(), target = activity.stage.target(),
            elapsed_ms = now.since(activity.received).as_millis();
            "request cut off by the planned stop"
        );
    }
}
