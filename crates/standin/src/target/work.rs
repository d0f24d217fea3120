use std::sync::Arc;

use ntex::http::{Request, Response, StatusCode};
use ragwortrill_core::time::Span;

use super::{
    Answer,
    call::{Call, refuse},
    handler::Handler,
    slot::{Slot, acquire, before_deadline},
    state::State,
};
use crate::reply;

/// Runs a request and answers it. The run continues if the caller disconnects.
pub(crate) async fn answer(handler: &Arc<Handler>, mut request: Request) -> Response {
    let call = match Call::receive(&mut request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    let handler = handler.clone();
    let run = ntex::rt::spawn(async move {
        let response = match acquire(&handler, call).await {
            Ok((slot, time)) => run(slot, time).await,
            Err(refused) => refuse(refused),
        };
        handler.until_resumed().await;
        response
    });
    run.await
        .unwrap_or_else(|_| Response::new(StatusCode::INTERNAL_SERVER_ERROR))
}

async fn run(slot: Slot, time: Span) -> Response {
    let handler = slot.handler.clone();
    let answer = handler
        .state
        .read(|state| describe(&handler, state, &slot.call));
    let deadline = handler.deadline(&slot.call);
    let work = async {
        if time > Span::ZERO {
            tokio::time::sleep(time.as_duration()).await;
        }
        let ended = |state: &mut State| {
            let cancelled = state.is_cancelled(&slot.call);
            let done = !state.frozen && (cancelled || !state.settings.hold);
            done.then_some(cancelled)
        };
        handler.state.until(ended).await
    };
    let result = before_deadline(deadline, cancellable(&slot, work)).await;
    handler.until_resumed().await;
    match result {
        Some(false) => {
            slot.finish();
            reply::json(StatusCode::OK, &answer)
        }
        Some(true) => reply::text(
            StatusCode::CONFLICT,
            "the request was cancelled after its run began",
        ),
        None => reply::text(
            StatusCode::GATEWAY_TIMEOUT,
            "the run was stopped at its deadline",
        ),
    }
}

/// Aborts work when its request is cancelled. Returns true if it was.
async fn cancellable(slot: &Slot, work: impl Future<Output = bool>) -> bool {
    let cancelled = slot.handler.state.until(|state| {
        let cancelled = !state.frozen && state.is_cancelled(&slot.call);
        cancelled.then_some(())
    });
    tokio::select! {
        cancelled = work => cancelled,
        () = cancelled => true,
    }
}

fn describe(handler: &Handler, state: &State, call: &Call) -> Answer {
    let runs = |counts: &std::collections::BTreeMap<String, u32>, id: &Option<String>| {
        let runs = id.as_ref().and_then(|id| counts.get(id));
        runs.copied().unwrap_or(1)
    };
    Answer {
        target: handler.name.clone(),
        start_id: state.start_id,
        request: call.request.clone(),
        key: call.key.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        runs: runs(&state.counts.runs, &call.request),
        key_runs: runs(&state.counts.key_runs, &call.key),
        body_bytes: call.body_bytes,
        body_sum: call.body_sum,
    }
}
