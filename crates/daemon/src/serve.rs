//! Requests that other daemons forward to this one.

use futures_util::StreamExt;
use ntex::util::Bytes;
use ragwortrill_core::{number::Offset, request::Refusal, time::Span};
use ragwortrill_wire::{
    Cause, Frame, Header, INITIAL_CREDIT_BYTES, Refusal as Refused, Request as Forwarded,
    Response as Head, Stream, credit_cost,
};
use tokio::sync::mpsc;

use crate::{
    answers::Kept,
    drive::{self, Decision, Origin},
    exchange::{Answer, Error, Parts, Request},
    forward::send_chunks,
    link::{Link, STREAM_QUEUE},
    shell::Shell,
};

/// Serves a forwarded request until its answer has been sent.
pub(crate) async fn run(
    shell: Shell,
    link: Link,
    forwarded: Forwarded,
    mut frames: mpsc::Receiver<Frame>,
) {
    let stream = forwarded.stream;
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
    let mut parts = Some(sender);
    let origin = Origin {
        deadline: shell.clock.now() + forwarded.remaining,
        forwarded: true,
        known: forwarded.offset,
    };
    let idempotent = forwarded.head.idempotent;
    let mut request = request(forwarded, receiver, link.clone());
    let decided = decide(&shell, &link, stream, &mut request, origin);
    tokio::pin!(decided);
    let mut credit = i64::from(INITIAL_CREDIT_BYTES);
    let mut gone = false;
    let decision = loop {
        tokio::select! {
            decision = &mut decided => break decision,
            frame = frames.recv(), if !gone => match frame {
                Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                // A body with a gap would be wrong, so a part that finds no room ends it.
                Some(frame @ Frame::Chunk { .. }) => {
                    parts.take_if(|parts| parts.try_send(frame).is_err());
                }
                Some(Frame::Abort { .. }) | None if idempotent => return,
                Some(Frame::Abort { .. }) | None => gone = true,
                Some(_) => {}
            },
        }
    };
    reply(&shell, &link, stream, decision, &mut frames, credit).await;
    link.streams().close(stream);
}

async fn decide(
    shell: &Shell,
    link: &Link,
    stream: Stream,
    request: &mut Request,
    origin: Origin,
) -> Decision {
    let more = request.more;
    let accept = async || {
        if more {
            link.send(Frame::Accept(stream)).await;
        }
    };
    drive::run(shell, request, origin, accept).await
}

fn request(forwarded: Forwarded, frames: mpsc::Receiver<Frame>, link: Link) -> Request {
    let stream = forwarded.stream;
    let rest = futures_util::stream::unfold(Some((frames, link, stream)), next_part);
    Request {
        head: forwarded.head,
        method: forwarded.method,
        path: forwarded.path,
        headers: forwarded.headers,
        prefix: Bytes::from(forwarded.body),
        rest: forwarded.more.then(|| Box::pin(rest) as Parts),
        more: forwarded.more,
    }
}

type Rest = (mpsc::Receiver<Frame>, Link, Stream);

/// Returns the next part of a forwarded request's body, and grants credit for it.
async fn next_part(rest: Option<Rest>) -> Option<(Result<Bytes, Error>, Option<Rest>)> {
    let (mut frames, link, stream) = rest?;
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
    shell: &Shell,
    link: &Link,
    stream: Stream,
    decision: Decision,
    frames: &mut mpsc::Receiver<Frame>,
    credit: i64,
) {
    match decision {
        Decision::Answered(answer) => pass_on(link, stream, answer, frames, credit).await,
        Decision::Refused {
            refusal,
            retry_after,
            offset,
        } => refuse(link, stream, refusal, retry_after, offset).await,
        Decision::Recalled { status, kept } => recall(shell, link, stream, status, kept).await,
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

async fn recall(shell: &Shell, link: &Link, stream: Stream, status: u16, kept: Option<Kept>) {
    let kept = kept.and_then(|kept| Some((kept.headers, kept.body?)));
    let Some((headers, body)) = kept else {
        log::debug!(status; "a repeated request's answer was not kept");
        let offset = shell.offset();
        return refuse(link, stream, Refusal::Duplicate, None, offset).await;
    };
    let head = Head {
        stream,
        status,
        headers: with_length(headers, Some(body.len() as u64)),
    };
    if link.send(Frame::Response(head)).await {
        send_chunks(link, stream, &body, true).await;
    }
}

async fn pass_on(
    link: &Link,
    stream: Stream,
    mut answer: Answer,
    frames: &mut mpsc::Receiver<Frame>,
    mut credit: i64,
) {
    let head = Head {
        stream,
        status: answer.status,
        headers: with_length(answer.headers, answer.length),
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
        // The rest of the answer is dropped, which cancels it at the target.
        if !open {
            return;
        }
        let part = tokio::select! {
            // A held part must not hide that the caller has left.
            frame = frames.recv() => {
                match frame {
                    Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                    Some(Frame::Abort { .. }) | None => open = false,
                    Some(_) => {}
                }
                continue;
            }
            part = answer.body.next() => part,
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
