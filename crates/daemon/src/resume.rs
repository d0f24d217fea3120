//! Downloads that are resumed after their sender broke off.

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ragwortrill_core::{number::Offset, request::Id, time::Span};
use ragwortrill_platform::headers;
use ragwortrill_wire::Header;

use crate::{
    dispatch::{self, Context, Outcome},
    exchange::{Body, Error, Request, Response},
    shared::Shared,
};

/// Number of times that a download is resumed before it counts as broken.
const MAX_RESUMPTIONS: u32 = 3;

/// What is needed to ask for the rest of a download.
pub(crate) struct ResumableRequest {
    shared: Shared,
    request: Request,
    /// Time allowed for each resumption.
    time_limit: Span,
}

/// A download under way.
struct Download {
    source: ResumableRequest,
    etag: Vec<u8>,
    received: u64,
    resumptions: u32,
    body: Body,
}

impl ResumableRequest {
    /// Copies a request whose answer can be resumed: a whole download without a body of its own.
    pub(crate) fn new(shared: &Shared, request: &Request, time_limit: Span) -> Option<Self> {
        let has_range = request.headers.iter().any(|h| has_name(h, headers::RANGE));
        let is_download = request.method == "GET" && request.head.idempotent;
        if !is_download || has_range || request.more || !request.prefix.is_empty() {
            return None;
        }
        Some(Self {
            shared: shared.clone(),
            request: Request {
                head: request.head.clone(),
                method: request.method.clone(),
                path: request.path.clone(),
                headers: request.headers.clone(),
                prefix: Bytes::new(),
                rest: None,
                more: false,
            },
            time_limit,
        })
    }

    /// Makes the body of an answer resume if it has a strong validator.
    pub(crate) fn make_resumable(self, response: &mut Response) {
        let etag = response.headers.iter().find(|h| has_name(h, headers::ETAG));
        let Some(etag) = etag.filter(|h| response.status == 200 && h.value.starts_with(b"\""))
        else {
            return;
        };
        let download = Download {
            source: self,
            etag: etag.value.clone(),
            received: 0,
            resumptions: 0,
            body: std::mem::replace(&mut response.body, Box::pin(stream::empty())),
        };
        response.body = Box::pin(stream::unfold(Some(download), next_part));
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
    async fn resume(&mut self) -> Option<Body> {
        if self.resumptions >= MAX_RESUMPTIONS {
            return None;
        }
        self.resumptions += 1;
        let ResumableRequest {
            shared,
            request,
            time_limit,
        } = &self.source;
        let mut request_rest = ResumableRequest::new(shared, request, *time_limit)?.request;
        // A cancellation of the broken request must not end this one.
        let name = format!("{}-{}", shared.process, shared.next_sequence());
        request_rest.head.request = Id::new(
            &request_rest.head.service,
            request_rest.head.request.key,
            "",
            &name,
        );
        request_rest.headers.push(Header {
            name: headers::RANGE.to_ascii_lowercase(),
            value: format!("bytes={}-", self.received).into_bytes(),
        });
        request_rest.headers.push(Header {
            name: headers::IF_RANGE.to_ascii_lowercase(),
            value: self.etag.clone(),
        });
        let context = Context {
            deadline: shared.clock.now() + *time_limit,
            forwarded: false,
            known: Offset::default(),
        };
        let limit = tokio::time::sleep(time_limit.as_duration());
        let outcome = tokio::select! {
            outcome = dispatch::run(shared, &mut request_rest, context, async || ()) => outcome,
            () = limit => return None,
        };
        match outcome {
            Outcome::Answered(response) if self.is_continuation(&response) => Some(response.body),
            _ => None,
        }
    }

    /// Tells whether an answer is the rest of this download.
    fn is_continuation(&self, response: &Response) -> bool {
        let start = format!("bytes {}-", self.received);
        let has = |name: &str, matches: &dyn Fn(&[u8]) -> bool| {
            let mut headers = response.headers.iter();
            headers.any(|header| has_name(header, name) && matches(&header.value))
        };
        response.status == 206
            && has(headers::ETAG, &|value| value == self.etag)
            && has("content-range", &|value| {
                value.starts_with(start.as_bytes())
            })
    }
}

fn has_name(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}
