//! Delivery of replies to callers.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use ragwortrill_core::time::Instant;
use tokio::{
    net::TcpStream,
    time::{timeout, timeout_at},
};

use crate::{
    activity::{Guard, Stage},
    attempt, connection,
    reply::{self, Reply},
    shared::Shared,
};

/// Longest time for which a caller accepts no bytes of its reply, or a target sends none of a
/// streamed body, before the connection is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without progress at the deadline from which the caller is the reason that its reply did not
/// end, and not the target.
const MIN_STALL: Duration = Duration::from_millis(100);

/// A reply and the properties of its request that its encoding depends on.
pub(crate) struct Response {
    pub(crate) reply: Reply,
    pub(crate) keeps_alive: bool,
    pub(crate) to_head: bool,
    /// When the reply was ready.
    pub(crate) ready: Instant,
    /// None if the request can't be read.
    pub(crate) activity: Option<Rc<Guard>>,
}

/// Writes a reply. Returns false if the caller did not get all of it.
pub(crate) async fn write(
    writer: &TcpStream,
    shared: &Shared,
    response: Response,
    closes: bool,
) -> bool {
    let Response {
        reply,
        to_head,
        ready,
        activity,
        ..
    } = response;
    if let Some(activity) = &activity {
        activity.set(Stage::Replying);
        shared.metrics.record_hold(shared.now().since(ready));
    }
    let wire = reply.encode(closes, to_head);
    let written = timeout(STALL_TIMEOUT, connection::write(writer, &wire)).await;
    if !matches!(written, Ok(Ok(()))) {
        return false;
    }
    match reply.remainder {
        Some(remainder) => stream(writer, shared, remainder).await,
        None => true,
    }
}

/// Reason why the rest of a body was cut off.
enum Cut {
    /// The target broke off the body, or did not end it in time.
    Target(String),
    /// The caller left, or accepts no more bytes.
    Caller,
}

/// Streams the rest of a large body to the caller, and records at its target how it ended. Returns
/// false if it was cut off.
async fn stream(writer: &TcpStream, shared: &Shared, remainder: reply::Remainder) -> bool {
    let source = remainder.source.clone();
    let left = remainder.deadline.since(shared.now());
    let deadline = tokio::time::Instant::now() + left.as_duration();
    match stream_remainder(writer, remainder, deadline).await {
        Ok(()) => {
            if let Some(source) = source {
                attempt::record_success(shared, &source);
            }
            true
        }
        Err(Cut::Target(cause)) => {
            let incarnation = source.map(|source| source.incarnation);
            let id = incarnation.as_ref().map_or("", |known| known.id.as_str());
            log::warn!(target = id, cause = cause; "reply cut off: the rest of its body can't be read from the target");
            let now = shared.now();
            if let Some(incarnation) = incarnation {
                shared.with_endpoint(&incarnation, |endpoint| {
                    endpoint.breaker.record_failure(now)
                });
            }
            false
        }
        Err(Cut::Caller) => false,
    }
}

async fn stream_remainder(
    writer: &TcpStream,
    mut remainder: reply::Remainder,
    deadline: tokio::time::Instant,
) -> Result<(), Cut> {
    let is_chunked = remainder.length.is_none();
    while tokio::time::Instant::now() < deadline {
        let read = timeout_at(deadline, next_bytes(&mut remainder)).await;
        let bytes = match read {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) => return end_body(writer, is_chunked).await,
            Ok(Err(cause)) => return Err(Cut::Target(cause)),
            Err(_) => break,
        };
        let mut wire = BytesMut::new();
        match is_chunked {
            true => reply::put_chunk(&mut wire, &bytes),
            false => wire.extend_from_slice(&bytes),
        }
        let write_began = tokio::time::Instant::now();
        let limit = deadline.min(write_began + STALL_TIMEOUT);
        let written = timeout_at(limit, connection::write(writer, &wire)).await;
        match written {
            Ok(Ok(())) => {}
            Err(_) if write_began.elapsed() < MIN_STALL => break,
            _ => return Err(Cut::Caller),
        }
    }
    let cause = "the body did not end within the request's deadline";
    Err(Cut::Target(cause.to_owned()))
}

async fn end_body(writer: &TcpStream, is_chunked: bool) -> Result<(), Cut> {
    let end: &[u8] = if is_chunked { b"0\r\n\r\n" } else { b"" };
    connection::write(writer, end)
        .await
        .map_err(|_| Cut::Caller)
}

async fn next_bytes(remainder: &mut reply::Remainder) -> Result<Option<Bytes>, String> {
    loop {
        let taken = remainder.decoder.take(&mut remainder.connection.buffer);
        if let Some(bytes) = taken.map_err(|error| error.to_string())? {
            return Ok(Some(bytes));
        }
        if remainder.decoder.is_done() {
            return Ok(None);
        }
        let read = timeout(STALL_TIMEOUT, remainder.connection.read()).await;
        match read {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if remainder.decoder.ends_with_connection() => return Ok(None),
            Ok(Ok(false)) => return Err("the target closed the connection".to_owned()),
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("the target sent nothing within the stall timeout".to_owned()),
        }
    }
}
