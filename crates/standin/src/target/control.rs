use std::{sync::Arc, time::Instant};

use ntex::http::{Method, Request, Response, StatusCode};
use ragwortrill_core::time::Span;
use ragwortrill_platform::target::{
    GRANT_PATH, Grant, HEALTH_PATH, LOAD_PATH, MAX_RESPONSE_BYTES, Refusal, StaleEpoch,
};

use super::{
    call,
    handler::{Handler, cancelled},
    state::State,
};
use crate::reply;

/// Answers a request to the control interface.
pub(crate) async fn answer(handler: &Arc<Handler>, mut request: Request) -> Response {
    let time = handler.state.read(|state| state.settings.control_time);
    if time > Span::ZERO {
        tokio::time::sleep(time.as_duration()).await;
        handler.until_resumed().await;
    }
    let body = match reply::body(&mut request, MAX_RESPONSE_BYTES).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    handler.state.change(|state| match request.path() {
        GRANT_PATH if request.method() == Method::PUT => grant(state, &body),
        HEALTH_PATH if request.method() == Method::GET => health(state),
        LOAD_PATH if request.method() == Method::GET => {
            state.counts.probes += 1;
            reply::json(StatusCode::OK, &state.report(Instant::now()))
        }
        path => match cancelled(path) {
            Some(id) if request.method() == Method::POST => cancel(state, id),
            _ => reply::text(StatusCode::NOT_FOUND, "no such method or path"),
        },
    })
}

fn grant(state: &mut State, body: &[u8]) -> Response {
    let grant: Grant = match serde_json::from_slice(body) {
        Ok(grant) => grant,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error),
    };
    if grant.start_id.is_some_and(|named| named != state.start_id) {
        return reply::text(
            StatusCode::PRECONDITION_FAILED,
            "the grant names the clock of another run",
        );
    }
    let stale = state.receive_epoch(grant.epoch);
    state.counts.stale_grants += u64::from(stale);
    if grant.epoch < state.highest_epoch {
        let highest = state.highest_epoch;
        return reply::json(StatusCode::CONFLICT, &StaleEpoch { highest });
    }
    let ttl = Span::from_millis(grant.ttl_ms).as_duration();
    state.grant(grant.epoch, state.instant_of(grant.from_ms) + ttl);
    Response::new(StatusCode::NO_CONTENT)
}

fn health(state: &mut State) -> Response {
    state.counts.probes += 1;
    match state.settings.draining {
        true => call::refuse(Refusal::Draining),
        false => reply::text(StatusCode::OK, "ok"),
    }
}

fn cancel(state: &mut State, request: &str) -> Response {
    match state.cancel(request) {
        true => Response::new(StatusCode::NO_CONTENT),
        false => reply::text(StatusCode::NOT_FOUND, "no such request"),
    }
}
