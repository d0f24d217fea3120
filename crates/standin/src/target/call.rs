use std::time::Instant;

use ntex::http::{Request, Response, StatusCode};
use ragwortrill_core::{number::Epoch, time::Span};
use ragwortrill_platform::{
    headers,
    target::{DEADLINE_HEADER, EPOCH_HEADER, REQUEST_HEADER, Refusal},
};

use crate::reply;

/// A request that the target is to run.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) deadline: Option<Instant>,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body_bytes: u64,
    pub(crate) body_sum: u64,
}

impl Call {
    /// Reads the head and the body of a request. The deadline counts from the moment of reading,
    /// also for a request that arrived while the target was frozen.
    pub(crate) async fn receive(request: &mut Request) -> Result<Self, Response> {
        let now = Instant::now();
        let epoch: Option<u64> = number(request, EPOCH_HEADER)?;
        let deadline = number(request, DEADLINE_HEADER)?;
        let mut call = Self {
            request: reply::header(request, REQUEST_HEADER),
            key: reply::header(request, headers::KEY),
            epoch: epoch.map(Epoch),
            deadline: deadline.map(|millis| now + Span::from_millis(millis).as_duration()),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            body_bytes: 0,
            body_sum: 0,
        };
        let mut payload = request.take_payload();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|error| reply::text(StatusCode::BAD_REQUEST, error))?;
            call.body_bytes += chunk.len() as u64;
            call.body_sum += chunk.iter().map(|byte| u64::from(*byte)).sum::<u64>();
        }
        Ok(call)
    }

    pub(crate) fn is_late(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}

fn number(request: &Request, name: &str) -> Result<Option<u64>, Response> {
    let Some(text) = reply::header(request, name) else {
        return Ok(None);
    };
    let malformed = |_| {
        let reason = format!("the header {name} has {text:?} in place of a whole number");
        reply::text(StatusCode::BAD_REQUEST, reason)
    };
    text.parse().map(Some).map_err(malformed)
}

/// Creates the answer to a request that did not run and never will.
pub(crate) fn refuse(refused: Refusal) -> Response {
    let status = StatusCode::from_u16(refused.status()).expect("the status is valid");
    let mut response = reply::text(status, format!("not run: {refused}"));
    let headers = response.headers_mut();
    headers.insert(
        name(ragwortrill_platform::target::REFUSED_HEADER),
        value(refused),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(name(headers::RETRY_AFTER), value(1));
    }
    response
}

pub(crate) fn name(text: &str) -> ntex::http::header::HeaderName {
    text.try_into().expect("the name is valid")
}

pub(crate) fn value(value: impl ToString) -> ntex::http::header::HeaderValue {
    let text = value.to_string();
    text.try_into().expect("the value has no control character")
}
