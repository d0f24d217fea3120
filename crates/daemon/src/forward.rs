//! Forwards requests to the daemon that holds their target.

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ragwortrill_core::{
    event::Finish,
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_wire::{
    Cause, Frame, INITIAL_CREDIT_BYTES, MAX_CHUNK_BYTES, Request as Forwarded, Stream, credit_cost,
};
use tokio::sync::mpsc;

use crate::{
    exchange::{Body, Error, Request, Response},
    link::Link,
};

/// Refusal by the other daemon, or failure of the forwarding.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) finish: Finish,
    pub(crate) retry_after: Option<Span>,
}

impl From<Finish> for Failure {
    fn from(finish: Finish) -> Self {
        Self {
            finish,
            retry_after: None,
        }
    }
}

/// A forwarded request. Dropped before it has ended, it aborts the request at the other daemon.
struct Exchange {
    link: Link,
    stream: Stream,
    frames: mpsc::Receiver<Frame>,
    ended: bool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.link.streams().close(self.stream);
        if !self.ended {
            self.link.try_send(Frame::Abort {
                stream: self.stream,
                cause: Cause::Gone,
            });
        }
    }
}

/// Forwards a request and returns its response, whose body is still to be read. Tells the other daemon
/// when the caller has left.
pub(crate) async fn send(
    link: Link,
    request: &mut Request,
    offset: Offset,
    now: Instant,
    deadline: Instant,
    caller_left: impl Future<Output = ()>,
) -> Result<Response, Failure> {
    let (stream, frames) = link.open_stream();
    let mut exchange = Exchange {
        link,
        stream,
        frames,
        ended: false,
    };
    let frame = Forwarded {
        stream,
        head: request.head.clone(),
        remaining: deadline.since(now),
        offset,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.prefix.to_vec(),
        more: request.more,
    };
    if !exchange.link.send(Frame::Request(Box::new(frame))).await {
        exchange.ended = true;
        return Err(Finish::LinkBroken.into());
    }
    let link = exchange.link.clone();
    let response = exchange.receive_response(request);
    tokio::pin!(response);
    tokio::select! {
        outcome = &mut response => return outcome,
        () = caller_left => {
            let cause = Cause::Gone;
            link.try_send(Frame::Abort { stream, cause });
        }
    }
    response.await
}

impl Exchange {
    async fn receive_response(mut self, request: &mut Request) -> Result<Response, Failure> {
        let mut credit = i64::from(INITIAL_CREDIT_BYTES);
        let mut rest: Option<Body> = None;
        loop {
            let frame = match rest.as_mut().filter(|_| credit > 0) {
                Some(parts) => tokio::select! {
                    frame = self.frames.recv() => frame,
                    part = parts.next() => {
                        let Some(cost) = self.send_part(part).await? else {
                            rest = None;
                            continue;
                        };
                        credit -= cost;
                        continue;
                    }
                },
                None => self.frames.recv().await,
            };
            match frame {
                Some(Frame::Accept(_)) if request.more => {
                    rest = Some(request.rest.take().ok_or(Finish::Broken)?);
                }
                Some(Frame::Credit { bytes, .. }) => credit += i64::from(bytes),
                Some(Frame::Response(head)) => return Ok(self.into_response(head)),
                Some(Frame::Refusal(refusal)) => {
                    self.ended = true;
                    return Err(Failure {
                        finish: Finish::Refused {
                            refusal: refusal.refusal,
                            offset: refusal.offset,
                        },
                        retry_after: refusal.retry_after,
                    });
                }
                Some(Frame::Abort { .. }) => {
                    self.ended = true;
                    return Err(Finish::Broken.into());
                }
                Some(_) => {}
                None => {
                    self.ended = true;
                    return Err(Finish::LinkBroken.into());
                }
            }
        }
    }

    /// Sends a part of the request's body. Returns the credit that it cost, or `None` after the
    /// last part.
    async fn send_part(
        &mut self,
        part: Option<Result<Bytes, Error>>,
    ) -> Result<Option<i64>, Failure> {
        let (bytes, last) = match part {
            Some(Ok(bytes)) => (bytes, false),
            Some(Err(_)) => return Err(Finish::Broken.into()),
            None => (Bytes::new(), true),
        };
        send_chunks(&self.link, self.stream, &bytes, last).await;
        Ok((!last).then_some(i64::from(credit_cost(bytes.len()))))
    }

    fn into_response(self, head: ragwortrill_wire::Response) -> Response {
        let length = head.headers.iter().find(|h| h.name == "content-length");
        let length = length.and_then(|h| std::str::from_utf8(&h.value).ok()?.parse().ok());
        let headers = head.headers.into_iter();
        let headers = headers.filter(|h| h.name != "content-length").collect();
        Response {
            status: head.status,
            headers,
            length,
            body: Box::pin(stream::unfold(Some(self), next_part)),
            running: None,
        }
    }
}

/// Returns the next part of a forwarded response's body, and grants credit for it.
async fn next_part(exchange: Option<Exchange>) -> Option<(Result<Bytes, Error>, Option<Exchange>)> {
    let mut exchange = exchange?;
    loop {
        match exchange.frames.recv().await {
            Some(Frame::Chunk { bytes, last, .. }) => {
                if last {
                    exchange.ended = true;
                    return (!bytes.is_empty()).then(|| (Ok(Bytes::from(bytes)), None));
                }
                let credit = Frame::Credit {
                    stream: exchange.stream,
                    bytes: credit_cost(bytes.len()),
                };
                exchange.link.send(credit).await;
                return Some((Ok(Bytes::from(bytes)), Some(exchange)));
            }
            Some(Frame::Abort { .. }) | None => {
                exchange.ended = true;
                return Some((Err(Error::Broken), None));
            }
            Some(_) => {}
        }
    }
}

/// Sends bytes as chunks of bounded size. Returns false if the link has ended.
pub(crate) async fn send_chunks(link: &Link, stream: Stream, bytes: &[u8], last: bool) -> bool {
    let mut chunks = bytes.chunks(MAX_CHUNK_BYTES).peekable();
    while let Some(chunk) = chunks.next() {
        let frame = Frame::Chunk {
            stream,
            bytes: chunk.to_vec(),
            last: last && chunks.peek().is_none(),
        };
        if !link.send(frame).await {
            return false;
        }
    }
    if last && bytes.is_empty() {
        let frame = Frame::Chunk {
            stream,
            bytes: Vec::new(),
            last,
        };
        return link.send(frame).await;
    }
    true
}
