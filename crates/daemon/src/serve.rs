//! Serves requests that other daemons forward to this one.

use futures_util::StreamExt;
use ntex::util::Bytes;
use ragwortrill_core::{number::Offset, request::Refusal, time::Span};
use ragwortrill_wire::{
    Cause, Frame, Header, INITIAL_CREDIT_BYTES, Refusal as Refused, Request as Forwarded,
    Response as ResponseHead, Stream, credit_cost,
};
use tokio::sync::{mpsc, watch};

use crate::{
    dispatch::{self, Context, Departure, Outcome},
    exchange::{Body, Error, Request, Response},
    forward::send_chunks,
    link::{Link, STREAM_QUEUE_CAPACITY},
    response_cache::CachedResponse,
    shared::Shared,
};

/// Serves a forwarded request until its response has been sent.
pub(crate) async fn run(
    shared: Shared,
    link: Link,
    forwarded: Forwarded,
    mut frames: mpsc::Receiver<Frame>,
) {
    let stream = forwarded.stream;
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
    let mut parts = Some(sender);
    let context = Context {
        deadline: shared.clock.now() + forwarded.remaining,
        forwarded: true,
        min_offset: forwarded.offset,
    };
    let idempotent = forwarded.head.idempotent;
    let mut request = into_request(forwarded, receiver, link.clone());
    let (caller, departure) = watch::channel(());
    let mut caller = Some(caller);
    let departure = Departure::of(departure);
    let dispatched = dispatch(&shared, &link, stream, &mut request, context, departure);
    tokio::pin!(dispatched);
    let mut credit = i64::from(INITIAL_CREDIT_BYTES);
    let outcome = loop {
        tokio::select! {
            outcome = &mut dispatched => break outcome,
            frame = frames.recv(), if caller.is_some() => match frame {
                Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                // A dropped part would leave a gap in the body, so a full queue ends the body.
                Some(frame @ Frame::Chunk { .. }) => {
                    parts.take_if(|parts| parts.try_send(frame).is_err());
                }
                Some(Frame::Abort { .. }) | None if idempotent => return,
                Some(Frame::Abort { .. }) | None => caller = None,
                Some(_) => {}
            },
        }
    };
    reply(&shared, &link, stream, outcome, &mut frames, credit).await;
    link.streams().close(stream);
}

async fn dispatch(
    shared: &Shared,
    link: &Link,
    stream: Stream,
    request: &mut Request,
    context: Context,
    departure: Departure,
) -> Outcome {
    let more = request.more;
    let on_dispatch = async || {
        if more {
            link.send(Frame::Accept(stream)).await;
        }
    };
    dispatch::run(shared, request, context, departure, on_dispatch).await
}

fn into_request(forwarded: Forwarded, frames: mpsc::Receiver<Frame>, link: Link) -> Request {
    let stream = forwarded.stream;
    let rest = futures_util::stream::unfold(Some((frames, link, stream)), next_part);
    Request {
        head: forwarded.head,
        method: forwarded.method,
        path: forwarded.path,
        headers: forwarded.headers,
        prefix: Bytes::from(forwarded.body),
        rest: forwarded.more.then(|| Box::pin(rest) as Body),
        more: forwarded.more,
    }
}

type BodySource = (mpsc::Receiver<Frame>, Link, Stream);

/// Returns the next part of a forwarded request's body, and grants credit for it.
async fn next_part(
    source: Option<BodySource>,
) -> Option<(Result<Bytes, Error>, Option<BodySource>)> {
    let (mut frames, link, stream) = source?;
    match frames.recv().await {
        Some(Frame::Chunk { bytes, last, .. }) => {
            if last {
                return (!bytes.is_empty()).then(|| (Ok(Bytes::from(bytes)), None));
            }
            let credit = Frame::Credit {
                stream,
                bytes: credit_cost(bytes.len()),
            };
            link.send(credit).await;
            Some((Ok(Bytes::from(bytes)), Some((frames, link, stream))))
        }
        _ => Some((Err(Error::Broken), None)),
    }
}

async fn reply(
    shared: &Shared,
    link: &Link,
    stream: Stream,
    outcome: Outcome,
    frames: &mut mpsc::Receiver<Frame>,
    credit: i64,
) {
    match outcome {
        Outcome::Answered(response) => send_response(link, stream, response, frames, credit).await,
        Outcome::Refused {
            refusal,
            retry_after,
            offset,
        } => refuse(link, stream, refusal, retry_after, offset).await,
        Outcome::Replayed { status, cached } => replay(shared, link, stream, status, cached).await,
    }
}

async fn refuse(
    link: &Link,
    stream: Stream,
    refusal: Refusal,
    retry_after: Option<Span>,
    offset: Offset,
) {
    link.send(Frame::Refusal(Refused {
        stream,
        refusal,
        retry_after,
        offset,
    }))
    .await;
}

async fn replay(
    shared: &Shared,
    link: &Link,
    stream: Stream,
    status: u16,
    cached: Option<CachedResponse>,
) {
    let cached = cached.and_then(|cached| Some((cached.headers, cached.body?)));
    let Some((headers, body)) = cached else {
        log::debug!(status; "a repeated request is refused because its response is not cached");
        let offset = shared.offset();
        return refuse(link, stream, Refusal::Duplicate, None, offset).await;
    };
    let head = ResponseHead {
        stream,
        status,
        headers: with_length(headers, Some(body.len() as u64)),
    };
    if link.send(Frame::Response(head)).await {
        send_chunks(link, stream, &body, true).await;
    }
}

async fn send_response(
    link: &Link,
    stream: Stream,
    mut response: Response,
    frames: &mut mpsc::Receiver<Frame>,
    mut credit: i64,
) {
    let head = ResponseHead {
        stream,
        status: response.status,
        headers: with_length(response.headers, response.length),
    };
    let mut open = link.send(Frame::Response(head)).await;
    loop {
        while open && credit <= 0 {
            match frames.recv().await {
                Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                Some(Frame::Abort { .. }) | None => open = false,
                Some(_) => {}
            }
        }
        // Dropping the rest of the response cancels an idempotent request at its target.
        if !open {
            return;
        }
        let part = tokio::select! {
            // Frames are also received while the target holds back the next part, because the peer
            // may abort the request meanwhile.
            frame = frames.recv() => {
                match frame {
                    Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                    Some(Frame::Abort { .. }) | None => open = false,
                    Some(_) => {}
                }
                continue;
            }
            part = response.body.next() => part,
        };
        match part {
            Some(Ok(bytes)) => {
                credit -= i64::from(credit_cost(bytes.len()));
                open = send_chunks(link, stream, &bytes, false).await;
            }
            Some(Err(_)) => {
                let cause = Cause::Broken;
                link.send(Frame::Abort { stream, cause }).await;
                return;
            }
            None => {
                send_chunks(link, stream, &[], true).await;
                return;
            }
        }
    }
}

fn with_length(mut headers: Vec<Header>, length: Option<u64>) -> Vec<Header> {
    headers.retain(|header| header.name != "content-length");
    headers.extend(length.map(|length| Header {
        name: "content-length".to_owned(),
        value: length.to_string().into_bytes(),
    }));
    headers
}
