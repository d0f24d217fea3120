//! Handling of one request: routing, admission, attempts and reply.

use std::rc::Rc;

use ragwortrill_router::{
    fleet::Target,
    retry::{self, Allowance, Decision, Outcome},
};

use crate::{
    admission::{self, Admitted},
    attempt::{self, Attempt},
    crash, hop,
    job::{Incoming, Job},
    reply::{Problem, RETRY_AFTER_ABSENT_MS, RETRY_AFTER_BUSY_MS, Reply},
    search,
    shared::Shared,
    stop::Phase,
    trial,
};

/// Serves a request. A request that is not idempotent is completed even if its caller leaves.
///
/// One that is not at a target when its caller leaves is dropped.
pub(crate) async fn serve(shared: Rc<Shared>, incoming: Incoming) -> Reply {
    let id = incoming
        .head
        .headers
        .get(shared.protocol.headers.request_id);
    let id = id.map(str::to_owned);
    if incoming.is_forwarded {
        log::info!(request = id.as_deref().unwrap_or(""); "request forwarded by another host");
    }
    let id_line = id
        .as_deref()
        .map(|id| (shared.protocol.headers.request_id, id));
    let mut job = match Job::prepare(&shared, incoming) {
        Ok(job) => job,
        Err(problem) => {
            shared
                .metrics
                .record_failure(problem.status, problem.reason);
            log::warn!(
                request = id.as_deref().unwrap_or(""), status = problem.status,
                reason = problem.reason;
                "request rejected"
            );
            return Reply::problem(problem, id_line);
        }
    };
    if job.rule.kind.is_idempotent() {
        return run(&shared, job).await;
    }
    let (caller, _guard) = job.incoming.caller.clone().detach();
    job.incoming.caller = caller;
    let task = tokio::task::spawn_local(async move { run(&shared, job).await });
    match task.await {
        Ok(reply) => reply,
        Err(error) => {
            log::error!(request = id.as_deref().unwrap_or(""), error = error.to_string(); "task of a non-idempotent request failed; replying with status 502");
            Reply::problem(Problem::new(502, "internal error"), id_line)
        }
    }
}

async fn run(shared: &Rc<Shared>, mut job: Job) -> Reply {
    let mut attempts = 0;
    let mut is_counted = false;
    loop {
        let admitted = admission::acquire(shared, &job).await;
        // A request that is forwarded counts on the host that sends it to a target.
        if !is_counted && !matches!(admitted, Ok(Admitted::Forwarded)) {
            is_counted = true;
            count(shared, &job);
        }
        let (target, permit) = match admitted {
            Ok(Admitted::Direct(target, permit)) => (target, permit),
            Ok(Admitted::Forwarded) => return forward(shared, &job).await,
            Err(problem) => return fail(shared, &job, problem),
        };
        // It may have crashed targets while it waited, at this host or another one.
        if let Some(problem) = crash::refusal(shared, job.fingerprint) {
            return fail(shared, &job, problem);
        }
        let trial = match trial::begin(shared, job.fingerprint).await {
            trial::Place::Free => None,
            trial::Place::Taken(trial) => Some(trial),
            trial::Place::Busy => {
                // Others use the target meanwhile.
                drop(permit);
                if let Err(problem) = trial::wait(shared, &job).await {
                    return fail(shared, &job, problem);
                }
                continue;
            }
        };
        let epoch = job
            .key
            .and_then(|key| search::epoch(shared, &job.service, key));
        let attempt = attempt::send(shared, &job, &target, permit).await;
        if let Some(trial) = trial {
            trial.end(attempt.outcome, attempt.status);
        }
        attempts += u32::from(attempt.outcome != Outcome::NotSent);
        if let (Outcome::Misdirected, Some(epoch)) = (attempt.outcome, epoch) {
            job.misdirected = Some((epoch, shared.now()));
        }
        job.tried.push(target.registration.incarnation.clone());
        job.carried_by.extend(attempt.connection);
        let time = job.deadline.since(shared.now());
        let left = Allowance {
            attempts: job.rule.attempts.saturating_sub(attempts),
            has_budget: true,
            time,
        };
        let mut next = retry::decide(job.rule.kind, attempt.outcome, job.may_have_run, left);
        let is_exempt = attempt.outcome == Outcome::NotSent || attempt.is_retry_charged;
        if next == Decision::Retry && !is_exempt && !shared.withdraw_retry(&job.service) {
            let left = Allowance {
                has_budget: false,
                ..left
            };
            next = retry::decide(job.rule.kind, attempt.outcome, job.may_have_run, left);
        }
        job.may_have_run |= matches!(attempt.outcome, Outcome::Failure | Outcome::Unknown);
        if next == Decision::Retry && shared.stop.has_reached(Phase::Closing) {
            // A planned stop leaves no time for another attempt.
            next = match attempt.outcome {
                Outcome::Failure => Decision::Deliver,
                _ if job.may_have_run => Decision::Fail,
                _ => Decision::Refuse,
            };
        }
        shared.metrics.record_attempt(attempt.outcome);
        log_attempt(shared, &job, &target, &attempt, next);
        match (next, attempt.reply) {
            (Decision::Deliver, Some(reply)) => return reply,
            (Decision::Retry, _) => {}
            (Decision::Refuse, _) => {
                let problem = admission::paused(shared, &job).unwrap_or(NOT_RUN);
                return fail(shared, &job, problem);
            }
            _ => {
                let is_late = job.deadline <= shared.now();
                let problem = match is_late {
                    true => Problem::new(504, "the target gave no answer in time"),
                    false if shared.stop.has_reached(Phase::GivingUp) => {
                        Problem::new(504, "the host stopped before the target answered")
                    }
                    false => Problem::new(502, "the target gave no usable answer"),
                };
                return fail(shared, &job, problem);
            }
        }
    }
}

/// Refusal of a request that no target ran.
const NOT_RUN: Problem =
    Problem::refusal("the target did not run the request", RETRY_AFTER_BUSY_MS);

/// Counts a request in the retry budget of its service and in the traffic of its key.
fn count(shared: &Shared, job: &Job) {
    shared.record_request(&job.service);
    if let Some(key) = job.key {
        let mut traffic = shared.traffic.borrow_mut();
        let traffic = traffic.entry(job.service.clone()).or_default();
        traffic.record(shared.now(), key);
    }
}

/// Sends a request through another host, since this one has lost its links to the targets.
async fn forward(shared: &Rc<Shared>, job: &Job) -> Reply {
    if let Some(problem) = crash::refusal(shared, job.fingerprint) {
        return fail(shared, job, problem);
    }
    let attempt = hop::send(shared, job).await;
    let may_have_run = job.may_have_run || attempt.outcome == Outcome::Unknown;
    match attempt.reply {
        Some(reply) if attempt.outcome != Outcome::NotRun || !may_have_run => reply,
        _ if may_have_run => {
            let problem = match job.deadline <= shared.now() {
                true => Problem::new(504, "no answer through another host in time"),
                false => Problem::new(502, "no usable answer through another host"),
            };
            fail(shared, job, problem)
        }
        _ => {
            let reason = "the links to the targets are lost, and no other host can help";
            fail(shared, job, Problem::refusal(reason, RETRY_AFTER_ABSENT_MS))
        }
    }
}

/// Replies with a problem. A refusal states that the request has not run, so it is replaced if an
/// attempt may have run it.
fn fail(shared: &Shared, job: &Job, mut problem: Problem) -> Reply {
    if job.may_have_run && problem.status == 503 {
        problem = Problem::new(504, "an earlier attempt may have run");
    }
    shared
        .metrics
        .record_failure(problem.status, problem.reason);
    log::warn!(
        request = job.id.as_str(), service = job.service.as_str(), rule = job.rule.name.as_str(),
        status = problem.status, reason = problem.reason, attempts = job.tried.len(),
        waiting = shared.queue.borrow().len(),
        elapsed_ms = shared.now().since(job.incoming.received).as_millis();
        "request failed"
    );
    Reply::problem(problem, Some((shared.protocol.headers.request_id, &job.id)))
}

fn log_attempt(shared: &Shared, job: &Job, target: &Target, attempt: &Attempt, next: Decision) {
    if next == Decision::Deliver && attempt.outcome == Outcome::Success {
        log::debug!(request = job.id.as_str(), target = target.registration.incarnation.id.as_str(); "request served");
        return;
    }
    log::info!(
        request = job.id.as_str(), service = job.service.as_str(),
        fingerprint = job.fingerprint.to_string(),
        target = target.registration.incarnation.id.as_str(), status = attempt.status,
        outcome = format!("{:?}", attempt.outcome), cause = attempt.cause.as_str(),
        next = format!("{next:?}"),
        elapsed_ms = shared.now().since(job.incoming.received).as_millis();
        "attempt ended"
    );
}
