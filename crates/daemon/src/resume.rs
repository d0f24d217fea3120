//! Downloads that are resumed after their sender broke off.

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ragwortrill_core::{number::Offset, request::Id, time::Span};
use ragwortrill_platform::headers;
use ragwortrill_wire::Header;

use crate::{
    drive::{self, Decision, Origin},
    exchange::{Answer, Error, Parts, Request},
    shell::Shell,
};

/// Number of times that a download is resumed before it counts as broken.
const MAX_RESUMPTIONS: u32 = 3;

/// What is needed to ask for the rest of a download.
pub(crate) struct Template {
    shell: Shell,
    request: Request,
    /// Time allowed for each resumption.
    span: Span,
}

/// A download under way.
struct Download {
    template: Template,
    etag: Vec<u8>,
    received: u64,
    resumptions: u32,
    body: Parts,
}

impl Template {
    /// Copies a request whose answer can be resumed: a whole download without a body of its own.
    pub(crate) fn new(shell: &Shell, request: &Request, span: Span) -> Option<Self> {
        let ranged = request.headers.iter().any(|h| is(h, headers::RANGE));
        let is_download = request.method == "GET" && request.head.idempotent;
        if !is_download || ranged || request.more || !request.prefix.is_empty() {
            return None;
        }
        Some(Self {
            shell: shell.clone(),
            request: Request {
                head: request.head.clone(),
                method: request.method.clone(),
                path: request.path.clone(),
                headers: request.headers.clone(),
                prefix: Bytes::new(),
                rest: None,
                more: false,
            },
            span,
        })
    }

    /// Makes the body of an answer resume if it has a strong validator.
    pub(crate) fn follow(self, answer: &mut Answer) {
        let etag = answer.headers.iter().find(|h| is(h, headers::ETAG));
        let Some(etag) = etag.filter(|h| answer.status == 200 && h.value.starts_with(b"\"")) else {
            return;
        };
        let download = Download {
            template: self,
            etag: etag.value.clone(),
            received: 0,
            resumptions: 0,
            body: std::mem::replace(&mut answer.body, Box::pin(stream::empty())),
        };
        answer.body = Box::pin(stream::unfold(Some(download), next_part));
    }
}

async fn next_part(download: Option<Download>) -> Option<(Result<Bytes, Error>, Option<Download>)> {
    let mut download = download?;
    loop {
        match download.body.next().await {
            Some(Ok(bytes)) => {
                download.received += bytes.len() as u64;
                return Some((Ok(bytes), Some(download)));
            }
            Some(Err(_)) => match download.resume().await {
                Some(body) => download.body = body,
                None => return Some((Err(Error::Broken), None)),
            },
            None => return None,
        }
    }
}

impl Download {
    /// Asks the key's present owner for the rest. Returns `None` if it can't be had.
    async fn resume(&mut self) -> Option<Parts> {
        if self.resumptions >= MAX_RESUMPTIONS {
            return None;
        }
        self.resumptions += 1;
        let Template {
            shell,
            request,
            span,
        } = &self.template;
        let mut part = Template::new(shell, request, *span)?.request;
        // A cancellation of the broken request must not end this one.
        let name = format!("{}-{}", shell.process, shell.sequence());
        part.head.request = Id::new(&part.head.service, part.head.request.key, "", &name);
        part.headers.push(Header {
            name: headers::RANGE.to_ascii_lowercase(),
            value: format!("bytes={}-", self.received).into_bytes(),
        });
        part.headers.push(Header {
            name: headers::IF_RANGE.to_ascii_lowercase(),
            value: self.etag.clone(),
        });
        let origin = Origin {
            deadline: shell.clock.now() + *span,
            forwarded: false,
            known: Offset::default(),
        };
        let limit = tokio::time::sleep(span.as_duration());
        let decision = tokio::select! {
            decision = drive::run(shell, &mut part, origin, async || ()) => decision,
            () = limit => return None,
        };
        match decision {
            Decision::Answered(answer) if self.continues(&answer) => Some(answer.body),
            _ => None,
        }
    }

    /// Tells whether an answer is the rest of this download.
    fn continues(&self, answer: &Answer) -> bool {
        let start = format!("bytes {}-", self.received);
        let has = |name: &str, matches: &dyn Fn(&[u8]) -> bool| {
            let mut headers = answer.headers.iter();
            headers.any(|header| is(header, name) && matches(&header.value))
        };
        answer.status == 206
            && has(headers::ETAG, &|value| value == self.etag)
            && has("content-range", &|value| {
                value.starts_with(start.as_bytes())
            })
    }
}

fn is(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}
