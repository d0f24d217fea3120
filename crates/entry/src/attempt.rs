//! One attempt to run a request at a target.

use std::{io, rc::Rc};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{
    fleet::Target, registration::Incarnation, restart::Exchange, retry::Outcome,
};
use tokio::time::timeout;

use crate::{
    activity::Stage,
    admission::Permit,
    checkout::Checkout,
    connection::{Connection, Handle},
    crash,
    exchange::{self, Error, ExtraHeader, Received},
    job::Job,
    leaving,
    message::{self, Framing},
    metrics::Way,
    pause, rate_limit, reach,
    reply::{Remainder, Reply, Source},
    search,
    shared::Shared,
    stop::Phase,
};

/// Multiple of the target's usual response time after which a request is sent to another target.
const TIMEOUT_FACTOR: u64 = 5;
/// Shortest timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: Span = Span::from_millis(150);
/// Longest timeout of an attempt after which another target can be tried, in percent of the
/// request's remaining time.
const MAX_ATTEMPT_TIMEOUT_PERCENT: u64 = 60;
/// Age of the target list up to which it shows whether a target has restarted.
const MAX_FLEET_AGE: Span = Span::from_millis(1_500);
/// Cause of an attempt that was not made, since the caller is not there any more.
pub(crate) const CALLER_LEFT: &str = "the caller has left";
/// Status with which a target answers if it is not the expected one or does not hold the key.
pub(crate) const MISDIRECTED: u16 = 421;

/// Outcome of one attempt.
pub(crate) struct Attempt {
    pub(crate) outcome: Outcome,
    pub(crate) reply: Option<Reply>,
    pub(crate) status: u16,
    pub(crate) cause: String,
    /// Whether the retry budget has been charged for the next attempt.
    pub(crate) is_retry_charged: bool,
    /// Number of the connection that carried the request, if it stays open.
    pub(crate) connection: Option<u64>,
}

impl Attempt {
    pub(crate) fn failed(outcome: Outcome, cause: String) -> Self {
        Self {
            outcome,
            reply: None,
            status: 0,
            cause,
            is_retry_charged: false,
            connection: None,
        }
    }
}

/// Sends a request to a target and waits for the response.
pub(crate) async fn send(
    shared: &Rc<Shared>,
    job: &Job,
    target: &Target,
    permit: Permit,
) -> Attempt {
    let incarnation = &target.registration.incarnation;
    let activity = &job.incoming.activity;
    activity.set(Stage::Connecting(incarnation.id.clone()));
    let opened = tokio::select! {
        biased;
        () = job.incoming.caller.departed() => Err(io::Error::other(CALLER_LEFT)),
        opened = Checkout::open(shared, job, incarnation) => opened,
    };
    let mut checkout = match opened {
        Ok(checkout) => checkout,
        Err(error) => return Attempt::failed(Outcome::NotSent, error.to_string()),
    };
    let Some(connection) = checkout.connection() else {
        return Attempt::failed(Outcome::NotSent, "no connection".to_owned());
    };
    let sent = shared.now();
    let obstacle = obstacle(shared, job, sent).or_else(|| {
        let is_serving = search::is_serving(shared, incarnation);
        (!is_serving).then_some("the target does not serve any more")
    });
    if let Some(cause) = obstacle {
        checkout.give_back(None);
        return Attempt::failed(Outcome::NotSent, cause.to_owned());
    }
    if pause::is_paused(shared, incarnation, sent) {
        checkout.give_back(None);
        let cause = "the target wants no requests for a time";
        return Attempt::failed(Outcome::NotSent, cause.to_owned());
    }
    let left = job.deadline.since(sent);
    activity.set(Stage::Sent(incarnation.id.clone()));
    count_limited(shared, job, incarnation, &permit);
    let wire = encode(shared, job, target, left);
    let attempt_timeout = attempt_timeout(shared, job, target, left);
    let is_idempotent = job.rule.kind.is_idempotent();
    let handle = (!is_idempotent).then(|| connection.handle());
    let mut is_given_up = false;
    let giving_up = async {
        job.incoming.caller.departed().await;
        is_given_up = true;
        give_up(handle);
        std::future::pending().await
    };
    let exchanging = exchange(shared, job, connection, &wire, attempt_timeout);
    let outcome = tokio::select! {
        biased;
        outcome = exchanging => outcome,
        // A request that may run only once has to be waited for: its bytes may have arrived.
        () = link_lost(shared, job, incarnation, sent), if is_idempotent => {
            Err(Unanswered::Unreachable)
        }
        never = giving_up, if !is_idempotent => never,
    };
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(Unanswered::Unreachable) => {
            let cause = "the link to the target is lost".to_owned();
            return Attempt::failed(Outcome::Unknown, cause);
        }
        Err(Unanswered::Timeout { is_retry_charged }) => {
            let now = shared.now();
            shared.with_endpoint(incarnation, |endpoint| endpoint.breaker.record_failure(now));
            crash::record_unanswered(shared, incarnation, job.fingerprint, sent);
            return Attempt {
                is_retry_charged,
                ..Attempt::failed(Outcome::Unknown, "no response in time".to_owned())
            };
        }
        Err(Unanswered::Stop) => {
            let cause = "no response before the host's planned stop ended".to_owned();
            return Attempt::failed(Outcome::Unknown, cause);
        }
    };
    match outcome {
        Ok(mut received) => {
            received.is_reusable &= !is_given_up;
            let exchange = Exchange {
                opened_at: checkout.opened_at(),
                sent_at: sent,
                answered_at: shared.now(),
            };
            accept(shared, job, target, checkout, received, exchange)
        }
        // This host has given the connection up itself, which says nothing about the target.
        Err(error) if is_given_up => Attempt::failed(Outcome::Unknown, error.to_string()),
        Err(error) => {
            let now = shared.now();
            shared.with_endpoint(incarnation, |endpoint| endpoint.breaker.record_failure(now));
            if matches!(error, Error::Broken(_)) {
                shared.with_endpoint(incarnation, |endpoint| {
                    endpoint.restart_detector.record_break(now)
                });
                crash::record_break(shared, incarnation, job.fingerprint, sent);
                reach::check(shared, &job.service, incarnation, reach::Cause::Break).await;
            }
            Attempt::failed(Outcome::Unknown, error.to_string())
        }
    }
}

/// Gives up what the target has not accepted yet of a request whose caller has left.
fn give_up(handle: Option<io::Result<Handle>>) {
    let outcome = handle.map(|handle| handle?.give_up_unacknowledged());
    if let Some(Err(error)) = outcome {
        log::debug!(error = error.to_string(); "connection can't be given up; a request whose caller has left may still be delivered");
    }
}

/// Returns why a request is not to be sent any more. Asked right before its bytes leave: the host may
/// have waited for a connection, and its event loop may be late.
pub(crate) fn obstacle(shared: &Shared, job: &Job, now: Instant) -> Option<&'static str> {
    if shared.stop.has_reached(Phase::Refusing) {
        return Some("the host stops");
    }
    if job.is_abandoned(now) {
        return Some(CALLER_LEFT);
    }
    if job.deadline.since(now).as_millis() == 0 {
        return Some("no time is left");
    }
    crash::refusal(shared, job.fingerprint).map(|problem| problem.reason)
}

/// Counts a request that is sent to a target with a rate limit, by the way that it took there.
fn count_limited(shared: &Shared, job: &Job, incarnation: &Incarnation, permit: &Permit) {
    if rate_limit::rate(shared, incarnation, shared.now()).is_some() {
        let way = match job.tried.is_empty() {
            false => Way::Retried,
            true if permit.was_queued => Way::Queued,
            true => Way::First,
        };
        shared.metrics.record_limited(way);
    }
}

/// Reason why a target is no longer waited for.
pub(crate) enum Unanswered {
    /// The host lost its link to the target.
    Unreachable,
    /// No response came in time.
    Timeout {
        /// Whether the retry budget has been charged for another attempt.
        is_retry_charged: bool,
    },
    /// A planned stop of the host leaves no more time.
    Stop,
}

/// Completes when a request is given up since the link to its target is lost. During a planned stop no
/// running attempt is given up: the answer may still come on the open connection, which the kernel
/// closes if the target is not there any more, and little time is left for another attempt.
async fn link_lost(shared: &Rc<Shared>, job: &Job, incarnation: &Incarnation, sent: Instant) {
    reach::lost(shared, &job.service, incarnation, sent).await;
    if shared.stop.has_reached(Phase::Stopping) {
        log::info!(request = job.id.as_str(), target = incarnation.id.as_str(); "request goes on during the planned stop, although the link to its target is lost");
        std::future::pending().await
    }
}

/// Sends a request and reads its response, unless a planned stop of the host ends first.
pub(crate) async fn exchange(
    shared: &Shared,
    job: &Job,
    connection: &mut Connection,
    wire: &[u8],
    attempt_timeout: Span,
) -> Result<Result<Received, Error>, Unanswered> {
    tokio::select! {
        biased;
        outcome = exchange_in_time(shared, job, connection, wire, attempt_timeout) => {
            outcome.map_err(|is_retry_charged| Unanswered::Timeout { is_retry_charged })
        }
        () = shared.stop.reached(Phase::GivingUp) => Err(Unanswered::Stop),
    }
}

/// Sends a request and reads its response. The outer error means that none came in time, and holds
/// whether the retry budget has been charged for another attempt.
async fn exchange_in_time(
    shared: &Shared,
    job: &Job,
    connection: &mut Connection,
    wire: &[u8],
    attempt_timeout: Span,
) -> Result<Result<Received, Error>, bool> {
    let is_head = job.incoming.head.method == "HEAD";
    let id_header = shared.protocol.headers.request_id;
    let exchange = async {
        connection.write(wire).await?;
        exchange::receive(connection, id_header, &job.id, is_head).await
    };
    tokio::pin!(exchange);
    if let Ok(outcome) = timeout(attempt_timeout.as_duration(), &mut exchange).await {
        return Ok(outcome);
    }
    let left = job.deadline.since(shared.now());
    let is_late = left.as_millis() == 0;
    if !is_late && abandons_target(shared, job) {
        return Err(true);
    }
    let outcome = timeout(left.as_duration(), &mut exchange).await;
    outcome.map_err(|_| false)
}

/// Decides whether to stop waiting for a target that has not answered within the attempt's timeout,
/// and charges the retry budget. If the budget allows no further attempt, waiting on is better for
/// the caller. During a planned stop no running attempt is given up.
fn abandons_target(shared: &Shared, job: &Job) -> bool {
    !shared.stop.has_reached(Phase::Stopping) && shared.withdraw_retry(&job.service)
}

fn encode(shared: &Shared, job: &Job, target: &Target, left: Span) -> bytes::BytesMut {
    let headers = &shared.protocol.headers;
    let left = left.as_millis().to_string();
    let extra_headers = [
        ExtraHeader {
            name: headers.deadline,
            value: &left,
        },
        ExtraHeader {
            name: headers.expected_target,
            value: target.registration.incarnation.id.as_str(),
        },
    ];
    exchange::encode(&job.incoming.head, &job.incoming.body, &extra_headers)
}

/// Returns the timeout of an attempt.
///
/// A target that is overloaded, or that crashed without closing its connections, may never answer.
/// So an idempotent request that other targets can run does not wait for one target until its
/// deadline.
fn attempt_timeout(shared: &Shared, job: &Job, target: &Target, left: Span) -> Span {
    let has_others = job.key.is_none() && job.rule.attempts > job.tried.len() as u32 + 1;
    if !job.rule.kind.is_idempotent() || !has_others {
        return left;
    }
    let incarnation = &target.registration.incarnation;
    let usual = shared.with_endpoint(incarnation, |endpoint| endpoint.load.response_time());
    let max_timeout = left.scale(MAX_ATTEMPT_TIMEOUT_PERCENT, 100);
    usual
        .scale(TIMEOUT_FACTOR, 1)
        .max(MIN_ATTEMPT_TIMEOUT)
        .min(max_timeout)
}

fn accept(
    shared: &Rc<Shared>,
    job: &Job,
    target: &Target,
    checkout: Checkout,
    received: Received,
    exchange: Exchange,
) -> Attempt {
    let headers = &shared.protocol.headers;
    let incarnation = &target.registration.incarnation;
    let now = shared.now();
    let response = &received.response;
    let status = response.status;
    let is_not_run = response.headers.get(headers.not_run).is_some();
    let report = response
        .headers
        .get(headers.load)
        .and_then(shared.protocol.decode_load);
    let elapsed = exchange.answered_at.since(exchange.sent_at);
    // An answer that is not from the expected target says nothing about it.
    if status != MISDIRECTED {
        rate_limit::record(shared, incarnation, response, &exchange);
        leaving::record(shared, incarnation, &response.headers);
        pause::record(shared, incarnation, response, &exchange);
    }
    shared.with_endpoint(incarnation, |endpoint| {
        endpoint.restart_detector.record_answer(exchange)
    });
    let spec = job.config.services.get(&job.service);
    let source = Source {
        incarnation: incarnation.clone(),
        cold_start: spec.map_or(Span::ZERO, |spec| spec.cold_start),
    };
    // A body that is streamed may still break off or not end.
    if received.remainder.is_none() {
        record_success(shared, &source);
    }
    shared.with_endpoint(incarnation, |endpoint| {
        if is_not_run && status != MISDIRECTED {
            endpoint.load.record_shed(now);
        }
        if let Some(report) = report {
            endpoint.load.record_report(now, report);
        }
        if !is_not_run {
            endpoint.load.record_answer(now, elapsed, report);
        }
    });
    let mut crash_observer = shared.crash_observer.borrow_mut();
    if status != MISDIRECTED {
        crash_observer.record_alive(incarnation, exchange.opened_at, exchange.sent_at);
    }
    // A target's own refusal, or an error that it answers in place of a result, does not show that
    // the request is harmless.
    if !is_not_run && status < 500 {
        crash_observer.record_answer(job.fingerprint, exchange.sent_at);
    }
    drop(crash_observer);
    let is_signed = response.headers.get(headers.signature).is_some();
    let is_encoded = response.headers.get("content-encoding").is_some();
    let outcome = match status {
        MISDIRECTED => Outcome::Misdirected,
        _ if is_not_run => Outcome::NotRun,
        200..300 if is_signed && !is_encoded => Outcome::Success,
        _ if is_signed && !(200..300).contains(&status) => Outcome::Failure,
        _ => Outcome::Unknown,
    };
    let cause = match outcome {
        Outcome::Unknown => "the response is not signed, or is encoded".to_owned(),
        _ => String::new(),
    };
    let reply = matches!(outcome, Outcome::Success | Outcome::Failure);
    let idle_timeout = idle_timeout(&received);
    let is_reusable = received.is_reusable;
    let (mut reply, checkout) = match reply {
        true => into_reply(received, checkout, job.deadline, source),
        false => (None, Some(checkout)),
    };
    if let Some(reply) = reply.as_mut().filter(|_| job.incoming.is_forwarded) {
        reply
            .headers
            .extend(leaving::relayed_header(shared, incarnation));
    }
    let kept = checkout.filter(|_| is_reusable);
    let connection = kept.as_ref().map(Checkout::number);
    if let Some(checkout) = kept {
        checkout.give_back(idle_timeout);
    }
    Attempt {
        outcome,
        reply,
        status,
        cause,
        is_retry_charged: false,
        connection,
    }
}

/// Records that a target has answered completely. One that failed before may have restarted, and
/// counts as cold if the list of targets is too old to tell.
pub(crate) fn record_success(shared: &Shared, source: &Source) {
    let now = shared.now();
    let Source {
        incarnation,
        cold_start,
    } = source;
    let was_distrusted =
        shared.with_endpoint(incarnation, |endpoint| endpoint.breaker.record_success());
    if was_distrusted && shared.fleet_age(now) > MAX_FLEET_AGE {
        let mut fleet = shared.fleet.borrow_mut();
        fleet.suspect_restart(now, &incarnation.id, *cold_start);
    }
}

/// Converts a target's response into the reply to the caller. Returns the connection too if the
/// reply doesn't need it to read the rest of the body.
fn into_reply(
    received: Received,
    checkout: Checkout,
    deadline: Instant,
    source: Source,
) -> (Option<Reply>, Option<Checkout>) {
    let length = match received.response.framing {
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let lines = received.response.headers.0.iter();
    let headers = lines
        .filter(|(name, _)| message::is_end_to_end(name))
        .cloned()
        .collect();
    let mut reply = Reply {
        status: received.response.status,
        headers,
        body: received.body,
        remainder: None,
        closes: false,
    };
    let Some(decoder) = received.remainder else {
        return (Some(reply), Some(checkout));
    };
    let Some(connection) = checkout.into_connection() else {
        return (None, None);
    };
    reply.remainder = Some(Remainder {
        connection,
        decoder,
        length,
        deadline,
        source: Some(source),
    });
    (Some(reply), None)
}

/// Returns the idle timeout in the target's `Keep-Alive` header.
fn idle_timeout(received: &Received) -> Option<Span> {
    let value = received.response.headers.get("keep-alive")?;
    let timeout_s = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout_s.trim().parse().ok().map(Span::from_secs)
}
