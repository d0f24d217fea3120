//! Submission of changes, with retries while the outcome is unknown.

use std::{
    thread,
    time::{Duration, Instant},
};

use ntex::http::StatusCode;
use ragwortrill_core::{
    ledger::Effect,
    record::{Id, Record},
    report::{Change, ChangeResult},
    request::Run,
};

use crate::{
    client::{Failure, Refusal},
    context::Context,
    error::Error,
};

/// Pause before a change is submitted again.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Submits a record. Retries with the same id while an attempt may have taken effect, until the
/// outcome is known or the time-out has passed.
///
/// The error `NotDone` means that no attempt took effect, and `Unknown` that one may have.
pub(crate) fn submit(context: &Context, record: Record) -> Result<ChangeResult, Error> {
    let (client, token) = (context.client()?, context.token()?);
    let earlier_id = context.parse_option("--id")?;
    let change = Change {
        id: earlier_id.unwrap_or_else(|| Id(rand::random())),
        actor: context.actor()?,
        reason: context.reason()?,
        record,
    };
    let timeout = context.timeout()?.as_duration();
    let start = Instant::now();
    let mut may_have_taken_effect = earlier_id.is_some();
    loop {
        let failure = match client.post(&token, &change) {
            Ok(result) => return check_effect(result),
            Err(failure) => failure,
        };
        may_have_taken_effect |= may_have_run(&failure);
        if !may_have_taken_effect || is_final(&failure) {
            return Err(Error::NotDone(failure));
        }
        if start.elapsed() + RETRY_BACKOFF > timeout {
            return Err(Error::Unknown {
                id: change.id,
                cause: failure.to_string(),
            });
        }
        thread::sleep(RETRY_BACKOFF);
    }
}

/// Returns whether a failure also rules out that an earlier attempt took effect.
///
/// The daemon responds to a repeated id as it did the first time, so these statuses hold for
/// earlier attempts too. Others, such as that of a refused token, say nothing about an earlier
/// attempt.
fn is_final(failure: &Failure) -> bool {
    let Failure::Status(Refusal { status, .. }) = failure else {
        return false;
    };
    matches!(
        *status,
        StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY
    )
}

fn may_have_run(failure: &Failure) -> bool {
    match failure {
        Failure::NotSent { .. } => false,
        Failure::NoResponse { .. } | Failure::InvalidResponse { .. } => true,
        Failure::Status(refusal) => {
            refusal.status.is_server_error() && refusal.problem.run != Some(Run::NotRun)
        }
    }
}

fn check_effect(result: ChangeResult) -> Result<ChangeResult, Error> {
    match result.effect {
        Effect::Applied | Effect::Duplicate => Ok(result),
        Effect::Conflict => Err(Error::refused(
            "the state changed in the meantime",
            "run 'ragwortrill status' and decide again",
        )),
        Effect::Missing => Err(Error::refused(
            "the daemon has not read the records before the change",
            "run 'ragwortrill status', and retry with a daemon that reads the log",
        )),
        Effect::Invalid => Err(Error::refused(
            "the change names something that does not exist or isn't allowed",
            "run 'ragwortrill table show' and correct the name",
        )),
    }
}
