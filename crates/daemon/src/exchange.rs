//! Requests and responses that pass through this process.

use std::{pin::Pin, task::Context, task::Poll};

use futures_util::{Stream, StreamExt, stream};
use ntex::{http::Payload, util::Bytes};
use ragwortrill_core::{
    event::{Event, Finish, Head, Ticket},
    request,
    time::{Instant, Span},
};
use ragwortrill_wire::Header;
use tokio::sync::mpsc;

use crate::{
    response_cache::{CachedResponse, MAX_BODY_BYTES},
    shared::Shared,
    target::RunningRequest,
};

/// Size at which the first part of a request's body ends, in bytes. The part is kept so that the
/// request can be sent again.
pub(crate) const PREFIX_BYTES: usize = 16 * 1024;

/// Maximum number of parts of a body that wait for a caller while the body is read to its end.
const MAX_BUFFERED_PARTS: usize = 4;

/// Reason why a body ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// The connection to the sender of the body broke.
    #[error("the body ended early because its sender's connection broke; repeat the request")]
    Broken,
}

/// Stream of the parts of a body.
pub(crate) type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Error>>>>;

/// A request to be sent to its target or forwarded.
pub(crate) struct Request {
    pub(crate) head: Head,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    /// First part of the body.
    pub(crate) prefix: Bytes,
    /// The rest of the body, until it is sent.
    pub(crate) rest: Option<Body>,
    /// True if the body has more than its first part.
    pub(crate) more: bool,
}

impl Request {
    /// Returns true if the whole body is still available.
    pub(crate) fn is_resendable(&self) -> bool {
        !self.more || self.rest.is_some()
    }
}

/// A response to be passed on.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: Option<u64>,
    pub(crate) body: Body,
    /// The running request, if this process sent it to its target.
    pub(crate) running: Option<RunningRequest>,
}

/// Reads the first part of a body. Returns it, and true if more may follow.
pub(crate) async fn read_prefix(payload: &mut Payload) -> Result<(Bytes, bool), Error> {
    let mut prefix = Vec::new();
    while prefix.len() < PREFIX_BYTES {
        match payload.recv().await {
            Some(Ok(bytes)) => prefix.extend_from_slice(&bytes),
            Some(Err(_)) => return Err(Error::Broken),
            None => return Ok((prefix.into(), false)),
        }
    }
    Ok((prefix.into(), true))
}

/// Reports the end of a request to the node once its response has been passed on.
pub(crate) struct Tracker {
    shared: Shared,
    ticket: Ticket,
    request: request::Id,
    status: u16,
    /// Bytes of the body that are still to come, if the response announced its length.
    bytes_left: Option<u64>,
    cached: Option<CachedResponse>,
    running: Option<RunningRequest>,
    ended: bool,
}

impl Tracker {
    /// Starts to track a response. `cache` is true if it is cached for callers that repeat the
    /// request.
    pub(crate) fn new(
        shared: &Shared,
        ticket: Ticket,
        request: &Request,
        response: &mut Response,
        cache: bool,
    ) -> Self {
        let has_body = request.method != "HEAD" && !matches!(response.status, 204 | 304);
        Self {
            shared: shared.clone(),
            ticket,
            request: request.head.request,
            status: response.status,
            bytes_left: if has_body { response.length } else { Some(0) },
            running: response.running.take(),
            cached: cache.then(|| CachedResponse {
                caller: request.head.caller,
                headers: response.headers.clone(),
                body: Some(Vec::new()),
            }),
            ended: false,
        }
    }

    /// Passes on the parts of a body and reports its end.
    pub(crate) fn track(self, body: Body) -> Body {
        Box::pin(TrackedBody {
            tracker: self,
            body,
        })
    }

    /// Returns true if the body is shorter than announced.
    fn is_truncated(&self) -> bool {
        !self.ended && self.bytes_left.is_some_and(|bytes_left| bytes_left > 0)
    }

    fn record(&mut self, bytes: &Bytes) {
        self.cache(bytes);
        if let Some(bytes_left) = self.bytes_left.as_mut() {
            *bytes_left = bytes_left.saturating_sub(bytes.len() as u64);
            if *bytes_left == 0 {
                self.finish(Finish::Answered(self.status));
            }
        }
    }

    fn cache(&mut self, bytes: &Bytes) {
        let Some(body) = self.cached.as_mut().and_then(|cached| cached.body.as_mut()) else {
            return;
        };
        match body.len() + bytes.len() <= MAX_BODY_BYTES {
            true => body.extend_from_slice(bytes),
            false => self.discard_body(),
        }
    }

    fn discard_body(&mut self) {
        if let Some(cached) = self.cached.as_mut() {
            cached.body = None;
        }
    }

    fn finish(&mut self, result: Finish) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if result == Finish::Cut(self.status) {
            self.discard_body();
        }
        self.running
            .take()
            .into_iter()
            .for_each(RunningRequest::finish);
        if let Some(cached) = self.cached.take() {
            self.shared.response_cache.insert(self.request, cached);
        }
        self.shared.registry.close(self.ticket);
        self.shared.send_event(Event::Finish {
            ticket: self.ticket,
            result,
        });
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        // A body that is known to be empty is never polled, so its end is reported here.
        let complete = self.bytes_left == Some(0);
        if !complete && !self.ended {
            // The caller has left. An idempotent request is cancelled at its target.
            drop(self.running.take());
        }
        self.finish(match complete {
            true => Finish::Answered(self.status),
            false => Finish::Cut(self.status),
        });
    }
}

struct TrackedBody {
    tracker: Tracker,
    body: Body,
}

impl Stream for TrackedBody {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.body.as_mut().poll_next(cx);
        let status = self.tracker.status;
        match &next {
            Poll::Ready(Some(Ok(bytes))) => self.tracker.record(bytes),
            Poll::Ready(Some(Err(_))) => self.tracker.finish(Finish::Cut(status)),
            Poll::Ready(None) if self.tracker.is_truncated() => {
                self.tracker.finish(Finish::Cut(status));
                return Poll::Ready(Some(Err(Error::Broken)));
            }
            Poll::Ready(None) => self.tracker.finish(Finish::Answered(status)),
            Poll::Pending => {}
        }
        next
    }
}

/// Ends a body with an error if it is not complete after a time.
pub(crate) fn limit(body: Body, time: Span) -> Body {
    let expired = Box::pin(tokio::time::sleep(time.as_duration()));
    Box::pin(stream::unfold(Some((body, expired)), async |state| {
        let (mut body, mut expired) = state?;
        // The time is checked first, since a body without end may always have a next part.
        tokio::select! {
            biased;
            () = &mut expired => Some((Err(Error::Broken), None)),
            part = body.next() => part.map(|part| (part, Some((body, expired)))),
        }
    }))
}

/// Reads a body to its end or first error, also after the returned body is dropped.
pub(crate) fn read_to_end(mut body: Body) -> Body {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    ntex::rt::spawn(async move {
        let mut open = true;
        while let Some(part) = body.next().await {
            // After an error, a body may return the same error without end.
            let is_broken = part.is_err();
            if open {
                open = sender.send(part).await.is_ok();
            }
            if is_broken {
                return;
            }
        }
    });
    Box::pin(stream::unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|part| (part, receiver))
    }))
}

/// Returns the time left until a deadline, in milliseconds and at least 1.
pub(crate) fn remaining_ms(now: Instant, deadline: Instant) -> u64 {
    deadline.since(now).as_millis().max(1)
}
