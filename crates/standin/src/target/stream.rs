use std::{error::Error, io, rc::Rc, sync::Arc, time::Duration};

use futures_util::stream;
use ntex::{
    http::{
        Method, Request, Response, StatusCode,
        body::{Body, BoxedBodyStream, SizedStream},
    },
    io::IoRef,
    util::Bytes,
};
use ragwortrill_core::time::Span;
use ragwortrill_platform::headers;

use super::{
    call::{Call, name, refuse, value},
    extent::{Extent, range},
    site::Site,
    slot::{Slot, enter},
    state::State,
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

/// A download under way.
struct Download {
    io: Option<IoRef>,
    site: Arc<Site>,
    slot: Option<Slot>,
    content: u64,
    sent: u64,
    rest: Extent,
    chunk: u64,
    interval: Span,
    break_at: Option<u64>,
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
    let (slot, time) = match enter(site, call).await {
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

impl Download {
    fn new(site: &Arc<Site>, slot: Slot, content: u64, rest: Extent, request: &Request) -> Self {
        let fields = reply::query(request);
        let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
        Self {
            io: request.io().cloned(),
            site: site.clone(),
            slot: Some(slot),
            content,
            sent: 0,
            rest,
            chunk: number("chunk").unwrap_or(CHUNK_BYTES).max(1),
            interval: Span::from_millis(number("interval_ms").unwrap_or(0)),
            break_at: number("break_at"),
        }
    }

    async fn next(mut self) -> Option<(Piece, Self)> {
        if self.rest.start >= self.rest.end {
            if let Some(slot) = self.slot.take() {
                slot.finish();
            }
            return None;
        }
        let gone = self.pause_or_gone().await;
        let broken = gone || self.break_at.is_some_and(|at| self.sent >= at);
        if let (true, Some(io)) = (broken, &self.io) {
            // ntex would write an error page after the body, which could complete its length.
            tokio::time::sleep(FLUSH_TIME).await;
            io.terminate();
        }
        let piece = match broken {
            true => Err(
                Rc::new(io::Error::other("the caller has gone or asked for a break"))
                    as Rc<dyn Error>,
            ),
            false => Ok(self.take()),
        };
        Some((piece, self))
    }

    /// Waits until the next chunk is due. True if the caller has gone, which ntex notices only when
    /// there is something to write.
    async fn pause_or_gone(&self) -> bool {
        let gone = async {
            match &self.io {
                Some(io) => io.on_disconnect().await,
                None => std::future::pending().await,
            }
        };
        let gone = tokio::select! {
            () = self.pause() => false,
            () = gone => true,
        };
        self.site.thawed().await;
        gone
    }

    async fn pause(&self) {
        if self.sent == 0 {
            return;
        }
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
