//! One attempt to have a target run a request.

use std::rc::Rc;

use ragwortrill_core::time::Span;
use ragwortrill_router::{fleet::Target, retry::Outcome};
use tokio::time::timeout;

use crate::{
    connection::Connection,
    exchange::{self, Addition, Fault, Received},
    job::Job,
    link::Link,
    message::{self, Framing},
    place::Place,
    reply::{Reply, Rest},
    shared::Shared,
};

/// Multiple of the usual response time after which a request is sent to another target.
const PATIENCE: u64 = 5;
/// Least time that a target is given for an answer.
const LEAST_PATIENCE: Span = Span::from_millis(150);
/// Part of the time left, in percent, that a target is given at most if there is another one.
const MOST_PATIENCE_PERCENT: u64 = 60;
/// Age of the view of the targets up to which it tells of a restart.
const CURRENT_VIEW: Span = Span::from_millis(1_500);
/// Status by which a target says that it is not the expected one or does not hold the key.
const MISDIRECTED: u16 = 421;

/// Outcome of one attempt.
pub(crate) struct Attempt {
    pub(crate) outcome: Outcome,
    pub(crate) reply: Option<Reply>,
    pub(crate) status: u16,
    pub(crate) cause: String,
    /// Whether the retry budget has been charged for the next attempt.
    pub(crate) is_retry_paid: bool,
}

impl Attempt {
    fn failed(outcome: Outcome, cause: String) -> Self {
        Self {
            outcome,
            reply: None,
            status: 0,
            cause,
            is_retry_paid: false,
        }
    }
}

/// Sends a request to a target and waits for the answer.
pub(crate) async fn send(
    shared: &Rc<Shared>,
    job: &Job,
    target: &Target,
    _place: Place,
) -> Attempt {
    let life = &target.registration.incarnation;
    let mut link = match Link::open(shared, job, life).await {
        Ok(link) => link,
        Err(error) => return Attempt::failed(Outcome::NotSent, error.to_string()),
    };
    let Some(connection) = link.connection() else {
        return Attempt::failed(Outcome::NotSent, "no connection".to_owned());
    };
    let sent = shared.now();
    let left = job.deadline.since(sent);
    if left.as_millis() == 0 {
        link.give_back(None);
        return Attempt::failed(Outcome::NotSent, "no time is left".to_owned());
    }
    let wire = wire(shared, job, target, left);
    let patience = patience(shared, job, target, left);
    let outcome = match exchange(shared, job, connection, &wire, patience).await {
        Ok(outcome) => outcome,
        Err(is_retry_paid) => {
            let now = shared.now();
            shared.with_peer(life, |peer| peer.breaker.record_failure(now));
            return Attempt {
                is_retry_paid,
                ..Attempt::failed(Outcome::Unknown, "no answer in time".to_owned())
            };
        }
    };
    match outcome {
        Ok(received) => accept(
            shared,
            job,
            target,
            link,
            received,
            shared.now().since(sent),
        ),
        Err(fault) => {
            let now = shared.now();
            shared.with_peer(life, |peer| peer.breaker.record_failure(now));
            if matches!(fault, Fault::Broken(_)) {
                let mut crashes_seen = shared.crashes_seen.borrow_mut();
                crashes_seen.record_broken(now, life, job.fingerprint);
            }
            Attempt::failed(Outcome::Unknown, fault.to_string())
        }
    }
}

/// Sends a request and reads its answer. The error is that none came in time; it tells whether the
/// retry budget has been charged for another attempt.
async fn exchange(
    shared: &Shared,
    job: &Job,
    connection: &mut Connection,
    wire: &[u8],
    patience: Span,
) -> Result<Result<Received, Fault>, bool> {
    let is_head = job.incoming.head.method == "HEAD";
    let id_header = shared.protocol.headers.request_id;
    let exchange = async {
        connection.write(wire).await?;
        exchange::receive(connection, id_header, &job.id, is_head).await
    };
    tokio::pin!(exchange);
    if let Ok(outcome) = timeout(patience.as_duration(), &mut exchange).await {
        return Ok(outcome);
    }
    let left = job.deadline.since(shared.now());
    let is_late = left.as_millis() == 0;
    if !is_late && gives_up(shared, job) {
        return Err(true);
    }
    let outcome = timeout(left.as_duration(), &mut exchange).await;
    outcome.map_err(|_| false)
}

/// Decides whether a request leaves a silent target for another one. Without another attempt,
/// waiting for the answer serves the caller better; a planned stop cuts no request either.
fn gives_up(shared: &Shared, job: &Job) -> bool {
    !shared.is_stopping.get() && shared.take_retry(&job.service)
}

fn wire(shared: &Shared, job: &Job, target: &Target, left: Span) -> bytes::BytesMut {
    let headers = &shared.protocol.headers;
    let left = left.as_millis().to_string();
    let additions = [
        Addition {
            name: headers.deadline,
            value: &left,
        },
        Addition {
            name: headers.expected_target,
            value: target.registration.incarnation.id.as_str(),
        },
    ];
    exchange::encode(&job.incoming.head, &job.incoming.body, &additions)
}

/// Returns how long a target is given for its answer.
///
/// A target that is full may never answer, nor one that crashed silently. A request that may run
/// again and that other targets could serve does not wait until its deadline.
fn patience(shared: &Shared, job: &Job, target: &Target, left: Span) -> Span {
    let has_others = job.key.is_none() && job.rule.attempts > job.tried.len() as u32 + 1;
    if !job.rule.kind.is_idempotent() || !has_others {
        return left;
    }
    let life = &target.registration.incarnation;
    let usual = shared.with_peer(life, |peer| peer.load.response_time());
    let most = left.scale(MOST_PATIENCE_PERCENT, 100);
    usual.scale(PATIENCE, 1).max(LEAST_PATIENCE).min(most)
}

fn accept(
    shared: &Rc<Shared>,
    job: &Job,
    target: &Target,
    link: Link,
    received: Received,
    elapsed: Span,
) -> Attempt {
    let headers = &shared.protocol.headers;
    let life = &target.registration.incarnation;
    let now = shared.now();
    let answer = &received.answer;
    let status = answer.status;
    let is_unrun = answer.headers.get(headers.not_run).is_some();
    let report = answer
        .headers
        .get(headers.load)
        .and_then(shared.protocol.decode_load);
    let was_avoided = shared.with_peer(life, |peer| peer.breaker.record_success());
    if was_avoided && shared.view_age(now) > CURRENT_VIEW {
        let spec = job.config.services.get(&job.service);
        let cold_start = spec.map_or(Span::ZERO, |spec| spec.cold_start);
        let mut fleet = shared.fleet.borrow_mut();
        fleet.suspect_restart(now, &life.id, cold_start);
    }
    shared.with_peer(life, |peer| {
        if is_unrun && status != MISDIRECTED {
            peer.load.record_shed(now);
        }
        if let Some(report) = report {
            peer.load.record_report(now, report);
        }
        if !is_unrun {
            peer.load.record_answer(now, elapsed, report);
        }
    });
    shared
        .crashes_seen
        .borrow_mut()
        .record_answer(job.fingerprint);
    let is_signed = answer.headers.get(headers.signature).is_some();
    let is_encoded = answer.headers.get("content-encoding").is_some();
    let outcome = match status {
        MISDIRECTED => Outcome::Misdirected,
        _ if is_unrun => Outcome::NotRun,
        200..300 if is_signed && !is_encoded => Outcome::Success,
        _ if is_signed && !(200..300).contains(&status) => Outcome::Failure,
        _ => Outcome::Unknown,
    };
    let cause = match outcome {
        Outcome::Unknown => "the answer is not signed".to_owned(),
        _ => String::new(),
    };
    let reply = matches!(outcome, Outcome::Success | Outcome::Failure);
    let idle_timeout = idle_timeout(&received);
    let is_reusable = received.is_reusable;
    let (reply, link) = match reply {
        true => deliver(received, link),
        false => (None, Some(link)),
    };
    if let Some(link) = link.filter(|_| is_reusable) {
        link.give_back(idle_timeout);
    }
    Attempt {
        outcome,
        reply,
        status,
        cause,
        is_retry_paid: false,
    }
}

/// Makes the caller's answer of a target's.
fn deliver(received: Received, link: Link) -> (Option<Reply>, Option<Link>) {
    let length = match received.answer.framing {
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let lines = received.answer.headers.0.iter();
    let headers = lines
        .filter(|(name, _)| message::is_end_to_end(name))
        .cloned()
        .collect();
    let mut reply = Reply {
        status: received.answer.status,
        headers,
        body: received.body,
        rest: None,
        closes: false,
    };
    let Some(decoder) = received.rest else {
        return (Some(reply), Some(link));
    };
    let Some(connection) = link.into_connection() else {
        return (None, None);
    };
    reply.rest = Some(Rest {
        connection,
        decoder,
        length,
    });
    (Some(reply), None)
}

/// Returns the idle timeout that a target states.
fn idle_timeout(received: &Received) -> Option<Span> {
    let value = received.answer.headers.get("keep-alive")?;
    let stated = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    stated.trim().parse().ok().map(Span::from_secs)
}
