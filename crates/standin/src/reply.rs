//! HTTP answers, bodies and headers of the stand-ins.

use std::collections::BTreeMap;

use ntex::{
    http::{Request, Response, StatusCode},
    util::BytesMut,
};
use serde::Serialize;

pub(crate) fn text(status: StatusCode, text: impl ToString) -> Response {
    Response::build(status)
        .content_type("text/plain; charset=utf-8")
        .body(text.to_string())
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("the value has text keys only");
    Response::build(status)
        .content_type("application/json")
        .body(body)
}

pub(crate) fn cbor(status: StatusCode, body: Vec<u8>) -> Response {
    Response::build(status)
        .content_type(ragwortrill_platform::log::MEDIA_TYPE)
        .body(body)
}

/// Closes the connection without an answer. The returned response is never sent.
pub(crate) fn disconnect(request: &Request) -> Response {
    if let Some(io) = request.io() {
        io.terminate();
    }
    Response::new(StatusCode::SERVICE_UNAVAILABLE)
}

/// Reads a body of at most `limit` bytes. For a broken or longer body, returns the error response.
pub(crate) async fn body(request: &mut Request, limit: usize) -> Result<BytesMut, Response> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| text(StatusCode::BAD_REQUEST, error))?;
        if body.len() + chunk.len() > limit {
            let reason = format!("the body has more than {limit} bytes");
            return Err(text(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Returns the query's parameters, without decoding escapes: no interface uses them.
pub(crate) fn query(request: &Request) -> BTreeMap<&str, &str> {
    let query = request.uri().query().unwrap_or("");
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect()
}

/// Returns a header as text, if it is there.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
