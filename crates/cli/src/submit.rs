//! Submission of changes, repeated while their outcome is unknown.

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
    client::{Broken, Refusal},
    context::Context,
    error::Error,
};

/// Pause before a change is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// Submits a record. Repeats it with the same id while an attempt may have taken effect, until the
/// outcome is certain or the time is up.
///
/// The error `NotDone` means that no attempt took effect; `Unknown` that one may have.
pub(crate) fn submit(context: &Context, record: Record) -> Result<ChangeResult, Error> {
    let (client, token) = (context.client()?, context.token()?);
    let earlier = context.parsed("--id")?;
    let change = Change {
        id: earlier.unwrap_or_else(|| Id(rand::random())),
        actor: context.actor()?,
        reason: context.reason()?,
        record,
    };
    let timeout = context.timeout()?.as_duration();
    let start = Instant::now();
    let mut sent = earlier.is_some();
    loop {
        let broken = match client.post(&token, &change) {
            Ok(outcome) => return accept(outcome),
            Err(broken) => broken,
        };
        sent |= may_have_run(&broken);
        if !sent || settles(&broken) {
            return Err(Error::NotDone(broken));
        }
        if start.elapsed() + PAUSE > timeout {
            return Err(Error::Unknown {
                id: change.id,
                cause: broken.to_string(),
            });
        }
        thread::sleep(PAUSE);
    }
}

/// The daemon answers a repeated id as the first time, so these statuses cover earlier attempts.
/// Others, such as a token that is refused, say nothing about an earlier attempt.
fn settles(broken: &Broken) -> bool {
    let Broken::Status(Refusal { status, .. }) = broken else {
        return false;
    };
    matches!(
        *status,
        StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY
    )
}

fn may_have_run(broken: &Broken) -> bool {
    match broken {
        Broken::Unsent { .. } => false,
        Broken::Unanswered { .. } | Broken::Unreadable { .. } => true,
        Broken::Status(refusal) => {
            refusal.status.is_server_error() && refusal.problem.run != Some(Run::NotRun)
        }
    }
}

fn accept(outcome: ChangeResult) -> Result<ChangeResult, Error> {
    match outcome.effect {
        Effect::Applied | Effect::Duplicate => Ok(outcome),
        Effect::Conflict => Err(Error::refused(
            "the state changed in the meantime",
            "run 'ragwortrill status' and decide again",
        )),
        Effect::Missing => Err(Error::refused(
            "the daemon has not read the records before the change",
            "run 'ragwortrill status', and ask a daemon that reads the log",
        )),
        Effect::Invalid => Err(Error::refused(
            "the change names something that does not exist or isn't allowed",
            "run 'ragwortrill table show' and correct the name",
        )),
    }
}
