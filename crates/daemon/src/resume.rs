//! Resumes downloads whose connection broke.

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ragwortrill_core::{number::Offset, request::Id, time::Span};
use ragwortrill_platform::headers;
use ragwortrill_wire::Header;

use crate::{
    dispatch::{self, Context, Departure, Outcome},
    exchange::{Body, Error, Request, Response},
    shared::Shared,
};

/// Maximum number of times that a download is resumed before it counts as broken.
const MAX_RESUMPTIONS: u32 = 3;

/// A request that can be repeated for the rest of its response.
pub(crate) struct ResumableRequest {
    shared: Shared,
    request: Request,
    /// Time limit of each resumption.
    time_limit: Span,
}

/// A download in progress.
struct Download {
    source: ResumableRequest,
    etag: Vec<u8>,
    received: u64,
    resumptions: u32,
    body: Body,
}

impl ResumableRequest {
    /// Copies a request if its response can be resumed: an idempotent GET without a range or a
    /// body.
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

    /// Makes the body of a response resumable if the response has a strong validator.
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
    /// Requests the rest from the key's current owner. Returns `None` if that fails.
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
        let mut continuation = ResumableRequest::new(shared, request, *time_limit)?.request;
        // The request has an id of its own, so that a cancellation of the broken request does not
        // end this one.
        let name = format!("{}-{}", shared.process, shared.next_sequence());
        continuation.head.request = Id::new(
            &continuation.head.service,
            continuation.head.request.key,
            "",
            &name,
        );
        continuation.headers.push(Header {
            name: headers::RANGE.to_ascii_lowercase(),
            value: format!("bytes={}-", self.received).into_bytes(),
        });
        continuation.headers.push(Header {
            name: headers::IF_RANGE.to_ascii_lowercase(),
            value: self.etag.clone(),
        });
        let context = Context {
            deadline: shared.clock.now() + *time_limit,
            forwarded: false,
            min_offset: Offset::default(),
        };
        let limit = tokio::time::sleep(time_limit.as_duration());
        let outcome = tokio::select! {
            outcome = dispatch::run(shared, &mut continuation, context, Departure::never(), async || ()) => outcome,
            () = limit => return None,
        };
        match outcome {
            Outcome::Answered(response) if self.is_continuation(&response) => Some(response.body),
            _ => None,
        }
    }

    /// Returns true if a response is the rest of this download.
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
