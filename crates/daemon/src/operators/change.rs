//! Accepts operators' changes and appends them to the log.

use ntex::{
    http::Payload,
    time::{Millis, sleep},
    web::{HttpRequest, HttpResponse, types},
};
use ragwortrill_core::{
    archive::Decision,
    ledger::Effect,
    number::Offset,
    record::{Entry, Record},
    report::{Change, ChangeResult, Propagation},
    request::Run,
    table_file,
    time::{Instant, Span},
    validation::Validity,
};
use ragwortrill_platform::log::{Batch, Error};

use ragwortrill_entry::clock::wall_ms;

use super::{
    State, access,
    read::{inspect, respond},
    refusal::Refusal,
};

/// Maximum size of a change, in bytes. A table with 16,000 targets takes about 2.5 MB.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time from a change's arrival within which the log must prove that this daemon's state is not
/// older than the change.
const PROOF_TIMEOUT: Span = Span::from_millis(1_500);

/// Time from a change's arrival within which the log must show its effect.
const EFFECT_TIMEOUT: Span = Span::from_millis(3_500);

/// Maximum time from a change's arrival to its answer. The command line waits 5 s for an answer.
const RESPONSE_TIMEOUT: Span = Span::from_secs(4);

/// Interval between checks of the node's state.
const POLL_INTERVAL: Millis = Millis(20);

pub(super) async fn submit(
    worker: State,
    request: HttpRequest,
    types::Payload(payload): types::Payload,
) -> HttpResponse {
    let arrived = worker.server.shared.clock.now();
    let result = async {
        if let Err(refusal) = access::check(&request, &worker.server.token) {
            discard_body(payload).await;
            return Err(refusal);
        }
        let change = parse(&body(payload).await?)?;
        run(&worker, change, arrived).await
    };
    respond(result.await)
}

/// Reads a body and discards it. The server resets a connection whose body was not read, and the
/// reset may reach the client before the answer does.
async fn discard_body(mut payload: Payload) {
    let mut read = 0;
    while let Some(Ok(part)) = payload.recv().await {
        read += part.len();
        if read > MAX_BODY_BYTES {
            return;
        }
    }
}

async fn body(mut payload: Payload) -> Result<Vec<u8>, Refusal> {
    let mut body = Vec::new();
    while let Some(part) = payload.recv().await {
        let broken = |_| Refusal::malformed("the body broke off", "repeat the request");
        body.extend_from_slice(&part.map_err(broken)?);
        if body.len() > MAX_BODY_BYTES {
            return Err(Refusal::TooLarge(MAX_BODY_BYTES));
        }
    }
    Ok(body)
}

fn parse(body: &[u8]) -> Result<Change, Refusal> {
    let remedy = "send a change of the manual's section on the operators' port";
    serde_json::from_slice(body).map_err(|error| Refusal::malformed(error.to_string(), remedy))
}

/// Appends a change unless the log already has it, and waits until the log shows its effect.
///
/// The change is validated against a state with a log proof that was requested after the change
/// arrived. So a refusal without an append also holds for earlier attempts with the same id.
async fn run(worker: &State, change: Change, arrived: Instant) -> Result<ChangeResult, Refusal> {
    await_proof(worker, arrived).await?;
    let (validity, change) =
        inspect(worker, move |node| Ok((node.validate(&change), change))).await?;
    let first = match validity {
        Validity::Recorded(first) => first,
        Validity::Conflict(conflict) => return Err(Refusal::Conflict(conflict)),
        Validity::Invalid { title, remedy } => return Err(Refusal::Invalid { title, remedy }),
        Validity::Valid => {
            check_table(&change.record)?;
            append(worker, &change, arrived).await?
        }
    };
    change_result(worker, first, &change.record, arrived).await
}

async fn await_proof(worker: &State, arrived: Instant) -> Result<(), Refusal> {
    loop {
        let proof = inspect(worker, |node| Ok(node.ownership().lease().proof())).await?;
        if proof.is_some_and(|sent| sent >= arrived) {
            return Ok(());
        }
        if worker.server.shared.clock.now() >= arrived + PROOF_TIMEOUT {
            let title = "the log service does not answer, so nothing was appended";
            return Err(Refusal::unavailable(title, Run::NotRun));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn check_table(record: &Record) -> Result<(), Refusal> {
    let Record::Table { table, .. } = record else {
        return Ok(());
    };
    let faults: Vec<String> = table_file::check(table)
        .iter()
        .map(|f| f.to_string())
        .collect();
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Refusal::Invalid {
            title: faults.join("\n"),
            remedy: "run 'ragwortrill table check FILE' and correct the file".to_owned(),
        }),
    }
}

/// Sets the offset that this daemon has read, so that a later change of the same subject takes
/// precedence.
fn with_read_offset(mut record: Record, offset: Offset) -> Record {
    match &mut record {
        Record::DataCentre { after, .. }
        | Record::Host { after, .. }
        | Record::Target { after, .. } => *after = offset,
        _ => {}
    }
    record
}

async fn append(worker: &State, change: &Change, arrived: Instant) -> Result<Decision, Refusal> {
    let entry = Entry {
        id: change.id,
        actor: change.actor.clone(),
        reason: change.reason.clone(),
        written_ms: wall_ms(),
        record: with_read_offset(change.record.clone(), worker.server.shared.offset()),
    };
    let mut batch = Batch::new();
    batch.push(&entry).map_err(|error| Refusal::Invalid {
        title: error.to_string(),
        remedy: "make the change in smaller steps".to_owned(),
    })?;
    let appended = worker.log.append(&batch).await;
    let result = if appended.is_ok() {
        "written"
    } else {
        "failed"
    };
    worker.server.shared.metrics.entries_appended(1, result);
    match appended {
        Ok(_) => {}
        Err(error @ Error::TooLarge { .. }) => {
            return Err(Refusal::Invalid {
                title: error.to_string(),
                remedy: "make the change in smaller steps".to_owned(),
            });
        }
        Err(error) if error.may_have_taken_effect() => {
            log::warn!("append of a change may have taken effect: {error}")
        }
        Err(error) => return Err(Refusal::unavailable(error.to_string(), Run::NotRun)),
    }
    await_effect(worker, change, arrived).await
}

async fn await_effect(
    worker: &State,
    change: &Change,
    arrived: Instant,
) -> Result<Decision, Refusal> {
    let id = change.id;
    loop {
        let first = inspect(worker, move |node| Ok(node.ledger().archive().decision(id))).await;
        if let Ok(Some(first)) = first {
            return Ok(first);
        }
        if worker.server.shared.clock.now() >= arrived + EFFECT_TIMEOUT {
            let title = "the log has not shown the change yet, and it may still do so";
            return Err(Refusal::unavailable(title, Run::Unknown));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn change_result(
    worker: &State,
    first: Decision,
    record: &Record,
    arrived: Instant,
) -> Result<ChangeResult, Refusal> {
    match first.effect {
        Effect::Applied | Effect::Duplicate => {}
        Effect::Conflict if matches!(record, Record::Table { .. }) => {
            let conflict = inspect(worker, |node| Ok(node.conflict())).await?;
            return Err(Refusal::Conflict(Box::new(conflict)));
        }
        Effect::Conflict | Effect::Invalid | Effect::Missing => {
            return Err(Refusal::Invalid {
                title: "the state changed before the change took effect".to_owned(),
                remedy: "run 'ragwortrill status' and decide again".to_owned(),
            });
        }
    }
    Ok(ChangeResult {
        offset: first.offset,
        effect: first.effect,
        version: first.version,
        in_force: await_propagation(worker, first.offset, arrived).await,
    })
}

/// Waits until the heartbeats of all live daemons report the record as applied, or the time is up.
async fn await_propagation(worker: &State, offset: Offset, arrived: Instant) -> Propagation {
    let clock = worker.server.shared.clock;
    loop {
        let now = clock.now();
        let propagation = inspect(worker, move |node| Ok(node.propagation(offset, now))).await;
        let propagation = propagation
            .unwrap_or_else(|_| Propagation::Waiting(vec![worker.server.shared.process.clone()]));
        if propagation == Propagation::Everywhere || now >= arrived + RESPONSE_TIMEOUT {
            return propagation;
        }
        sleep(POLL_INTERVAL).await;
    }
}
