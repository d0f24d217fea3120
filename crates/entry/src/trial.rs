//! Trials: a request that was in flight at the end of a target runs at one host at a time, until it is
//! answered or has ended another target. The leader decides which host is next.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use ragwortrill_core::{request::Fingerprint, time::Span};
use ragwortrill_router::{crash::Permission, retry::Outcome};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    activity::Stage,
    admission,
    call::{Call, Client},
    job::Job,
    reply::{Problem, RETRY_AFTER_HELD_MS},
    shared::Shared,
    stop::Phase,
    uplink,
};

/// Path of the questions on the port between hosts.
pub(crate) const PATH: &str = "/trial";
/// Timeout of a question to the leader. Without an answer the request runs, since it may be harmless.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a request that waits checks whether it is still suspected.
const CHECK_INTERVAL: Span = Span::from_millis(100);
/// Questions of all hosts about one request in a second, which the leader has to answer.
const MAX_QUESTIONS_PER_S: usize = 100;
/// Largest answer of the leader.
const MAX_ANSWER_BYTES: usize = 64;

/// What a host tells the leader.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Question {
    /// A request with the fingerprint is about to run.
    Begin(Fingerprint),
    /// The trial has ended and its target has not.
    End {
        fingerprint: Fingerprint,
        is_answered: bool,
    },
}

/// Place of a request before it runs.
pub(crate) enum Place {
    /// It runs beside others.
    Free,
    /// It runs as a trial.
    Taken(Trial),
    /// Another request with its fingerprint runs, at this host or another one.
    Busy,
}

/// Trial of a request at this host, until it is dropped.
pub(crate) struct Trial {
    shared: Rc<Shared>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.shared.trials.borrow_mut().remove(&self.fingerprint);
    }
}

impl Trial {
    /// Ends the trial with the outcome of its attempt and the status that the target answered, or 0.
    /// If there was no answer, the target may have ended, so no other request runs before the leader
    /// has evaluated the crash, or the trial has expired.
    pub(crate) fn end(self, outcome: Outcome, status: u16) {
        if outcome == Outcome::Unknown && status == 0 {
            return;
        }
        let is_run = matches!(outcome, Outcome::Success | Outcome::Failure);
        let question = Question::End {
            fingerprint: self.fingerprint,
            is_answered: is_run && status < 500,
        };
        tokio::task::spawn_local(async move {
            if let Err(error) = ask(&self.shared, question).await {
                log::debug!(fingerprint = self.fingerprint.to_string(), error = format!("{error:#}"); "leader does not know that a trial has ended; it expires");
            }
        });
    }
}

/// Asks the leader whether a request may run now, if it is suspected.
pub(crate) async fn begin(shared: &Rc<Shared>, fingerprint: Fingerprint) -> Place {
    if !shared.crash_observer.borrow().needs_trial(fingerprint) {
        return Place::Free;
    }
    if !shared.trials.borrow_mut().insert(fingerprint) {
        return Place::Busy;
    }
    let trial = Trial {
        shared: shared.clone(),
        fingerprint,
    };
    match ask(shared, Question::Begin(fingerprint)).await {
        Ok(Permission::Free) => Place::Free,
        Ok(Permission::Alone) => {
            log::info!(fingerprint = fingerprint.to_string(); "suspected request runs alone");
            Place::Taken(trial)
        }
        Ok(Permission::Wait) => Place::Busy,
        Err(error) => {
            log::info!(fingerprint = fingerprint.to_string(), error = format!("{error:#}"); "suspected request runs alone at this host, since the leader does not answer");
            Place::Taken(trial)
        }
    }
}

/// Waits until the leader can be asked again about a request, or until it is not suspected any more.
/// Returns why it is refused if it has no time left for that.
pub(crate) async fn wait(shared: &Shared, job: &Job) -> Result<(), Problem> {
    job.incoming.activity.set(Stage::Queued);
    let due = shared.now() + question_interval(shared);
    let needed = admission::min_service_time(job) + CHECK_INTERVAL;
    let is_suspected = || shared.crash_observer.borrow().needs_trial(job.fingerprint);
    while is_suspected() && shared.now() < due {
        let is_late = job.deadline.since(shared.now()) <= needed;
        if is_late || shared.stop.has_reached(Phase::Closing) {
            let reason =
                "a target ended under a request like this one, and another one is tried first";
            return Err(Problem::refusal(reason, RETRY_AFTER_HELD_MS));
        }
        sleep(CHECK_INTERVAL.as_duration()).await;
    }
    Ok(())
}

/// Returns the interval between two questions of this host about one request.
fn question_interval(shared: &Shared) -> Span {
    let hosts = shared.hosts.borrow().len().max(1);
    Span::from_secs(1).scale(hosts as u64, MAX_QUESTIONS_PER_S as u64)
}

async fn ask(shared: &Shared, question: Question) -> Result<Permission> {
    if uplink::peer(shared).is_none() {
        return Ok(answer(shared, question));
    }
    let address = uplink::leader_address(shared).context("no other host is known to lead")?;
    let mut body = Vec::new();
    ciborium::into_writer(&question, &mut body)?;
    let call = Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    };
    let mut client = Client::new(address, MAX_ANSWER_BYTES);
    let reply = client.call(&call, QUESTION_TIMEOUT).await?;
    if reply.status != 200 {
        // Hosts of an earlier release don't know the path.
        bail!("the leader answered with status {}", reply.status);
    }
    ciborium::from_reader(reply.body.as_ref()).context("the leader's answer can't be decoded")
}

/// Answers the question of another host while this one leads.
pub(crate) fn handle_question(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let question = ciborium::from_reader(body).context("the question can't be read")?;
    if uplink::peer(shared).is_some() {
        bail!("this host does not lead");
    }
    let mut encoded = Vec::new();
    ciborium::into_writer(&answer(shared, question), &mut encoded)?;
    Ok(encoded)
}

fn answer(shared: &Shared, question: Question) -> Permission {
    let mut aggregator = shared.crash_aggregator.borrow_mut();
    match question {
        Question::Begin(fingerprint) => aggregator.begin_trial(shared.now(), fingerprint),
        Question::End {
            fingerprint,
            is_answered,
        } => {
            aggregator.end_trial(fingerprint, is_answered);
            Permission::Free
        }
    }
}
