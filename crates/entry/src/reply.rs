//! Replies to callers.

use bytes::{BufMut, Bytes, BytesMut};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::registration::Incarnation;

use crate::{
    connection::Connection,
    message::{Decoder, Header},
};

/// Time after which a caller may retry if no target has capacity for its request.
pub(crate) const RETRY_AFTER_BUSY_MS: u64 = 60;
/// Time after which a caller may retry if a service has no target, a route has no service, or no
/// configuration is loaded yet.
pub(crate) const RETRY_AFTER_ABSENT_MS: u64 = 200;
/// Time after which a caller may retry a request that is quarantined for crashing its targets.
pub(crate) const RETRY_AFTER_QUARANTINED_MS: u64 = 60_000;

/// Time after which a caller may retry a request while it is determined whether it crashed targets.
pub(crate) const RETRY_AFTER_HELD_MS: u64 = 1_500;

/// A reply to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// The rest of a body that is too large to be buffered.
    pub(crate) remainder: Option<Remainder>,
    /// Whether the connection is closed after the reply.
    pub(crate) closes: bool,
}

/// The part of a body that is still to be read from the target and streamed to the caller.
#[derive(Debug)]
pub(crate) struct Remainder {
    pub(crate) connection: Connection,
    pub(crate) decoder: Decoder,
    /// Length of the whole body, if the target sent it.
    pub(crate) length: Option<u64>,
    /// When the body is cut off if it has not ended.
    pub(crate) deadline: Instant,
    /// None if another host sent the response.
    pub(crate) source: Option<Source>,
}

/// Target that a body comes from.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) incarnation: Incarnation,
    /// Time for which the target is cold after a start.
    pub(crate) cold_start: Span,
}

/// Reason why the host replies to a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Problem {
    pub(crate) status: u16,
    /// Short reason, for the caller and the log.
    pub(crate) reason: &'static str,
    /// Milliseconds after which the caller may retry; none if a retry can't help.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem without a time after which to retry.
    pub(crate) const fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal: the request has not run and never will.
    pub(crate) const fn refusal(reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: 503,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

impl Reply {
    /// Creates the reply for a problem.
    pub(crate) fn problem(problem: Problem, id: Option<(&'static str, &str)>) -> Self {
        let mut headers = vec![header("Content-Type", "application/problem+json")];
        if let Some((name, id)) = id {
            headers.push(header(name, id));
        }
        if let Some(millis) = problem.retry_after_ms {
            let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
            headers.push(header("Retry-After", &seconds));
        }
        let body = format!(
            "{{\"status\":{},\"title\":\"{}\"}}",
            problem.status, problem.reason
        );
        Self {
            status: problem.status,
            headers,
            body: Bytes::from(body),
            remainder: None,
            closes: matches!(problem.status, 400 | 408 | 413 | 431),
        }
    }

    /// Creates a successful reply with a body.
    pub(crate) fn content(kind: &'static str, body: Bytes) -> Self {
        Self {
            status: 200,
            headers: vec![header("Content-Type", kind)],
            body,
            remainder: None,
            closes: false,
        }
    }

    /// Encodes the head and the buffered part of the body. The reply to a `HEAD` request, for which
    /// `to_head` is set, has no body.
    pub(crate) fn encode(&self, closes: bool, to_head: bool) -> BytesMut {
        let mut wire = BytesMut::with_capacity(256 + self.body.len());
        wire.put_slice(
            format!(
                "HTTP/1.1 {} {}\r\n",
                self.status,
                reason_phrase(self.status)
            )
            .as_bytes(),
        );
        for (name, value) in &self.headers {
            wire.put_slice(name);
            wire.put_slice(b": ");
            wire.put_slice(value);
            wire.put_slice(b"\r\n");
        }
        match &self.remainder {
            Some(remainder) => match remainder.length {
                Some(length) => wire.put_slice(format!("Content-Length: {length}\r\n").as_bytes()),
                None => wire.put_slice(b"Transfer-Encoding: chunked\r\n"),
            },
            None if self.status != 204 && self.status != 304 && !to_head => {
                wire.put_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
            }
            None => {}
        }
        if closes {
            wire.put_slice(b"Connection: close\r\n");
        }
        wire.put_slice(b"\r\n");
        let is_chunked = self
            .remainder
            .as_ref()
            .is_some_and(|remainder| remainder.length.is_none());
        match is_chunked {
            _ if to_head => {}
            true => put_chunk(&mut wire, &self.body),
            false => wire.put_slice(&self.body),
        }
        wire
    }
}

/// Appends a chunk unless it is empty, since an empty chunk ends the body.
pub(crate) fn put_chunk(wire: &mut BytesMut, bytes: &[u8]) {
    if !bytes.is_empty() {
        wire.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        wire.put_slice(bytes);
        wire.put_slice(b"\r\n");
    }
}

fn header(name: &'static str, value: &str) -> Header {
    (
        Bytes::from_static(name.as_bytes()),
        Bytes::copy_from_slice(value.as_bytes()),
    )
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "-",
    }
}
