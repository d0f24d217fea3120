use std::{error::Error, io, rc::Rc, sync::Arc, time::Duration};

use futures_util::stream;
use ntex::{
    http::{
        Method, Request, Response, StatusCode,
        body::{Body, BoxedBodyStream, SizedStream},
    },
    util::Bytes,
};
use ragwortrill_core::time::Span;
use ragwortrill_platform::headers;

use super::{
    call::{Call, name, refuse, value},
    site::Site,
    state::State,
    work::{self, Slot},
};
use crate::reply;

/// Path of downloads, followed by their length in bytes.
pub(crate) const PATH: &str = "/stream/";

/// Length of a chunk if the query sets none, in bytes.
const CHUNK_BYTES: u64 = 16 << 10;

/// Returns a byte of a download's content.
pub fn byte_at(content: u64, offset: u64) -> u8 {
    // A prime modulus keeps the pattern out of step with chunks of any usual length.
    (offset.wrapping_mul(31).wrapping_add(content) % 251) as u8
}

/// Time for which a broken download waits, so that its last bytes are sent.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Part of a resource, from `start` up to but not including `end`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Extent {
    start: u64,
    end: u64,
}

/// A download under way.
struct Download {
    site: Arc<Site>,
    slot: Option<Slot>,
    content: u64,
    sent: u64,
    rest: Extent,
    chunk: u64,
    interval: Span,
    break_at: Option<u64>,
    io: Option<ntex::io::IoRef>,
}

type Piece = Result<Bytes, Rc<dyn Error>>;

/// Answers a download.
pub(crate) async fn answer(site: &Arc<Site>, mut request: Request) -> Response {
    let call = match Call::receive(&mut request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    let Ok(size) = request.path()[PATH.len()..].parse::<u64>() else {
        return reply::text(StatusCode::BAD_REQUEST, "the path is /stream/{bytes}");
    };
    let content = site.state.read(|state| state.settings.content);
    let etag = format!("\"{content}-{size}\"");
    let range = match range(&request, &etag, size) {
        Ok(range) => range,
        Err(response) => return response,
    };
    let (slot, time) = match work::enter(site, call).await {
        Ok(entered) => entered,
        Err(refused) => return refuse(refused),
    };
    if time > Span::ZERO {
        tokio::time::sleep(time.as_duration()).await;
    }
    site.thawed().await;
    let rest = range.unwrap_or(Extent {
        start: 0,
        end: size,
    });
    let download = Download::new(site, slot, content, rest, &request);
    respond(&request, download, &etag, range, size)
}

fn respond(
    request: &Request,
    download: Download,
    etag: &str,
    range: Option<Extent>,
    size: u64,
) -> Response {
    let status = match range {
        Some(_) => StatusCode::PARTIAL_CONTENT,
        None => StatusCode::OK,
    };
    let mut response = Response::build(status);
    response.content_type("application/octet-stream");
    response.set_header(name(headers::ETAG), value(etag));
    response.set_header(name("Accept-Ranges"), value("bytes"));
    if let Some(Extent { start, end }) = range {
        let text = format!("bytes {start}-{}/{size}", end - 1);
        response.set_header(name("Content-Range"), value(text));
    }
    let length = download.rest.end - download.rest.start;
    if request.method() == Method::HEAD {
        // An empty body would announce the length 0.
        let nothing = stream::empty::<Piece>();
        return response.body(SizedStream::new(length, nothing));
    }
    let pieces = Box::pin(stream::unfold(download, Download::next));
    match reply::query(request).get("chunked") {
        Some(_) => response.body(Body::from_message(BoxedBodyStream::new(pieces))),
        None => response.body(SizedStream::new(length, pieces)),
    }
}

/// Reads the range, if it applies. One that is malformed, multiple or for another version of the
/// resource does not.
fn range(request: &Request, etag: &str, size: u64) -> Result<Option<Extent>, Response> {
    let condition = reply::header(request, headers::IF_RANGE);
    if condition.is_some_and(|condition| condition != etag) {
        return Ok(None);
    }
    let Some((start, end)) =
        reply::header(request, headers::RANGE).and_then(|text| parse(&text, size))
    else {
        return Ok(None);
    };
    if start < end.min(size) {
        let end = end.min(size);
        return Ok(Some(Extent { start, end }));
    }
    let mut response = reply::text(StatusCode::RANGE_NOT_SATISFIABLE, "nothing in that range");
    let text = format!("bytes */{size}");
    response
        .headers_mut()
        .insert(name("Content-Range"), value(text));
    Err(response)
}

fn parse(text: &str, size: u64) -> Option<(u64, u64)> {
    let (start, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    match (start, last) {
        ("", last) => Some((size.saturating_sub(last.parse().ok()?), size)),
        (start, "") => Some((start.parse().ok()?, u64::MAX)),
        (start, last) => {
            let (start, last): (u64, u64) = (start.parse().ok()?, last.parse().ok()?);
            (start <= last).then_some((start, last.saturating_add(1)))
        }
    }
}

impl Download {
    fn new(site: &Arc<Site>, slot: Slot, content: u64, rest: Extent, request: &Request) -> Self {
        let fields = reply::query(request);
        let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
        Self {
            site: site.clone(),
            slot: Some(slot),
            content,
            sent: 0,
            rest,
            chunk: number("chunk").unwrap_or(CHUNK_BYTES).max(1),
            interval: Span::from_millis(number("interval_ms").unwrap_or(0)),
            break_at: number("break_at"),
            io: request.io().cloned(),
        }
    }

    async fn next(mut self) -> Option<(Piece, Self)> {
        if self.rest.start >= self.rest.end {
            if let Some(slot) = self.slot.take() {
                slot.finish();
            }
            return None;
        }
        if self.sent > 0 {
            self.pause().await;
        }
        self.site.thawed().await;
        let broken = self.break_at.is_some_and(|at| self.sent >= at);
        if let (true, Some(io)) = (broken, &self.io) {
            // ntex would write an error page after the body, which could complete its length.
            tokio::time::sleep(FLUSH_TIME).await;
            io.terminate();
        }
        let piece = match broken {
            true => Err(Rc::new(io::Error::other("broken by request")) as Rc<dyn Error>),
            false => Ok(self.take()),
        };
        Some((piece, self))
    }

    async fn pause(&self) {
        if self.interval > Span::ZERO {
            tokio::time::sleep(self.interval.as_duration()).await;
        }
        let released = |state: &mut State| (!state.settings.hold).then_some(());
        self.site.state.until(released).await;
    }

    fn take(&mut self) -> Bytes {
        let start = self.rest.start;
        let left = self.break_at.map_or(u64::MAX, |at| at - self.sent);
        let length = self.chunk.min(self.rest.end - start).min(left);
        self.rest.start += length;
        self.sent += length;
        let bytes = (start..start + length).map(|offset| byte_at(self.content, offset));
        Bytes::from(bytes.collect::<Vec<u8>>())
    }
}
