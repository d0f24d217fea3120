//! Requests and answers on their way through this process.

use std::{pin::Pin, task::Context, task::Poll};

use futures_util::{Stream, StreamExt, stream};
use ntex::{http::Payload, util::Bytes};
use ragwortrill_core::{
    event::{Event, Finish, Head, Ticket},
    request,
    time::Instant,
};
use ragwortrill_wire::Header;
use tokio::sync::mpsc;

use crate::{
    answers::{Kept, MAX_BODY_BYTES},
    shell::Shell,
    target::Running,
};

/// Largest first part of a request's body, kept so that the request can be sent again, in bytes.
pub(crate) const PREFIX_BYTES: usize = 16 * 1024;

/// Parts of a body that wait for a caller while the body is read to its end.
const RUN_ON_PARTS: usize = 4;

/// Reason why a body ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// The sender of the body broke off.
    #[error("the body ended early because its sender's connection broke; repeat the request")]
    Broken,
}

/// Parts of a body.
pub(crate) type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Error>>>>;

/// A request as it is passed on.
pub(crate) struct Request {
    pub(crate) head: Head,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    /// First part of the body.
    pub(crate) prefix: Bytes,
    /// The rest of the body, until it is used.
    pub(crate) rest: Option<Parts>,
    /// True if the body has more than its first part.
    pub(crate) more: bool,
}

impl Request {
    /// Tells whether the request can still be sent whole.
    pub(crate) fn is_whole(&self) -> bool {
        !self.more || self.rest.is_some()
    }
}

/// An answer as it is passed on.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: Option<u64>,
    pub(crate) body: Parts,
    /// The request at its target, if this process sent it there.
    pub(crate) running: Option<Running>,
}

/// Reads the first part of a body, so that small requests can be sent again.
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

/// Tells the node how a request ended once its answer has been passed on.
pub(crate) struct Passage {
    shell: Shell,
    ticket: Ticket,
    request: request::Id,
    status: u16,
    /// Bytes of the body that are still to come, if the answer said how many there are.
    missing: Option<u64>,
    kept: Option<Kept>,
    running: Option<Running>,
    done: bool,
}

impl Passage {
    /// Starts to follow an answer. `keep` is true if callers may ask for it again.
    pub(crate) fn new(
        shell: &Shell,
        ticket: Ticket,
        request: &Request,
        answer: &mut Answer,
        keep: bool,
    ) -> Self {
        let has_body = request.method != "HEAD" && !matches!(answer.status, 204 | 304);
        Self {
            shell: shell.clone(),
            ticket,
            request: request.head.request,
            status: answer.status,
            missing: if has_body { answer.length } else { Some(0) },
            running: answer.running.take(),
            kept: keep.then(|| Kept {
                caller: request.head.caller,
                headers: answer.headers.clone(),
                body: Some(Vec::new()),
            }),
            done: false,
        }
    }

    /// Passes the parts of a body on and reports its end.
    pub(crate) fn follow(self, body: Parts) -> Parts {
        Box::pin(Followed {
            passage: self,
            body,
        })
    }

    /// Tells whether the body has ended before its announced length.
    fn is_short(&self) -> bool {
        !self.done && self.missing.is_some_and(|missing| missing > 0)
    }

    fn see(&mut self, bytes: &Bytes) {
        self.keep(bytes);
        if let Some(missing) = self.missing.as_mut() {
            *missing = missing.saturating_sub(bytes.len() as u64);
            if *missing == 0 {
                self.end(Finish::Answered(self.status));
            }
        }
    }

    fn keep(&mut self, bytes: &Bytes) {
        let Some(body) = self.kept.as_mut().and_then(|kept| kept.body.as_mut()) else {
            return;
        };
        match body.len() + bytes.len() <= MAX_BODY_BYTES {
            true => body.extend_from_slice(bytes),
            false => self.forget_body(),
        }
    }

    fn forget_body(&mut self) {
        if let Some(kept) = self.kept.as_mut() {
            kept.body = None;
        }
    }

    fn end(&mut self, result: Finish) {
        if std::mem::replace(&mut self.done, true) {
            return;
        }
        if result == Finish::Cut(self.status) {
            self.forget_body();
        }
        self.running.take().into_iter().for_each(Running::finish);
        if let Some(kept) = self.kept.take() {
            self.shell.answers.keep(self.request, kept);
        }
        self.shell.registry.close(self.ticket);
        self.shell.event(Event::Finish {
            ticket: self.ticket,
            result,
        });
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        // A body that is known to be empty is never polled.
        let whole = self.missing == Some(0);
        if !whole && !self.done {
            // The caller left. An idempotent request is cancelled at its target.
            drop(self.running.take());
        }
        self.end(match whole {
            true => Finish::Answered(self.status),
            false => Finish::Cut(self.status),
        });
    }
}

struct Followed {
    passage: Passage,
    body: Parts,
}

impl Stream for Followed {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.body.as_mut().poll_next(cx);
        let status = self.passage.status;
        match &next {
            Poll::Ready(Some(Ok(bytes))) => self.passage.see(bytes),
            Poll::Ready(Some(Err(_))) => self.passage.end(Finish::Cut(status)),
            Poll::Ready(None) if self.passage.is_short() => {
                self.passage.end(Finish::Cut(status));
                return Poll::Ready(Some(Err(Error::Broken)));
            }
            Poll::Ready(None) => self.passage.end(Finish::Answered(status)),
            Poll::Pending => {}
        }
        next
    }
}

/// Reads a body to its end even if nobody takes its parts any more.
pub(crate) fn run_on(mut body: Parts) -> Parts {
    let (sender, receiver) = mpsc::channel(RUN_ON_PARTS);
    ntex::rt::spawn(async move {
        let mut open = true;
        while let Some(part) = body.next().await {
            if open {
                open = sender.send(part).await.is_ok();
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
