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
    handler::Handler,
    slot::{Slot, acquire},
    state::State,
};
use crate::reply;

/// Prefix of the path of downloads; their length in bytes follows.
pub(crate) const PATH: &str = "/stream/";

/// Length of a chunk if the query sets none.
const CHUNK_BYTES: u64 = 16 << 10;

/// Returns the byte at an offset of a version of the downloads' content.
pub fn byte_at(content: u64, offset: u64) -> u8 {
    // A prime modulus makes the pattern differ between chunks of any usual length.
    (offset.wrapping_mul(31).wrapping_add(content) % 251) as u8
}

/// Delay before a connection is broken, so that the last chunk is still sent.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A download in progress.
struct Download {
    io: Option<IoRef>,
    handler: Arc<Handler>,
    slot: Option<Slot>,
    content: u64,
    sent: u64,
    remaining: Extent,
    chunk_bytes: u64,
    interval: Span,
    break_at: Option<u64>,
}

type Chunk = Result<Bytes, Rc<dyn Error>>;

/// Answers a download.
pub(crate) async fn answer(handler: &Arc<Handler>, mut request: Request) -> Response {
    let call = match Call::receive(&mut request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    let Ok(size) = request.path()[PATH.len()..].parse::<u64>() else {
        return reply::text(
            StatusCode::BAD_REQUEST,
            "the path must be /stream/ and a length in bytes",
        );
    };
    let content = handler.state.read(|state| state.settings.content_version);
    let etag = format!("\"{content}-{size}\"");
    let range = match range(&request, &etag, size) {
        Ok(range) => range,
        Err(response) => return response,
    };
    let (slot, time) = match acquire(handler, call).await {
        Ok(acquired) => acquired,
        Err(refused) => return refuse(refused),
    };
    if time > Span::ZERO {
        tokio::time::sleep(time.as_duration()).await;
    }
    handler.until_resumed().await;
    let remaining = range.unwrap_or(Extent {
        start: 0,
        end: size,
    });
    let download = Download::new(handler, slot, content, remaining, &request);
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
    let length = download.remaining.end - download.remaining.start;
    if request.method() == Method::HEAD {
        // An empty body would set the header Content-Length to 0.
        let nothing = stream::empty::<Chunk>();
        return response.body(SizedStream::new(length, nothing));
    }
    let chunks = Box::pin(stream::unfold(download, Download::next));
    match reply::query(request).get("chunked") {
        Some(_) => response.body(Body::from_message(BoxedBodyStream::new(chunks))),
        None => response.body(SizedStream::new(length, chunks)),
    }
}

impl Download {
    fn new(
        handler: &Arc<Handler>,
        slot: Slot,
        content: u64,
        remaining: Extent,
        request: &Request,
    ) -> Self {
        let fields = reply::query(request);
        let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
        Self {
            io: request.io().cloned(),
            handler: handler.clone(),
            slot: Some(slot),
            content,
            sent: 0,
            remaining,
            chunk_bytes: number("chunk").unwrap_or(CHUNK_BYTES).max(1),
            interval: Span::from_millis(number("interval_ms").unwrap_or(0)),
            break_at: number("break_at"),
        }
    }

    async fn next(mut self) -> Option<(Chunk, Self)> {
        if self.remaining.start >= self.remaining.end {
            if let Some(slot) = self.slot.take() {
                slot.finish();
            }
            return None;
        }
        let disconnected = self.wait_or_disconnect().await;
        let broken = disconnected || self.break_at.is_some_and(|at| self.sent >= at);
        if let (true, Some(io)) = (broken, &self.io) {
            // After a failed body ntex appends an error page, which could fill the body to its
            // announced length, so the connection is closed first.
            tokio::time::sleep(FLUSH_TIME).await;
            io.terminate();
        }
        let chunk = match broken {
            true => Err(Rc::new(io::Error::other(
                "the caller disconnected, or the download reached break_at",
            )) as Rc<dyn Error>),
            false => Ok(self.take_chunk()),
        };
        Some((chunk, self))
    }

    /// Waits until the next chunk is due. Returns true if the caller has disconnected, which ntex
    /// itself notices only when it writes.
    async fn wait_or_disconnect(&self) -> bool {
        let disconnected = async {
            match &self.io {
                Some(io) => io.on_disconnect().await,
                None => std::future::pending().await,
            }
        };
        let disconnected = tokio::select! {
            () = self.wait_for_next() => false,
            () = disconnected => true,
        };
        self.handler.until_resumed().await;
        disconnected
    }

    async fn wait_for_next(&self) {
        if self.sent == 0 {
            return;
        }
        if self.interval > Span::ZERO {
            tokio::time::sleep(self.interval.as_duration()).await;
        }
        let released = |state: &mut State| (!state.settings.hold).then_some(());
        self.handler.state.until(released).await;
    }

    fn take_chunk(&mut self) -> Bytes {
        let start = self.remaining.start;
        let left = self.break_at.map_or(u64::MAX, |at| at - self.sent);
        let length = self.chunk_bytes.min(self.remaining.end - start).min(left);
        self.remaining.start += length;
        self.sent += length;
        let bytes = (start..start + length).map(|offset| byte_at(self.content, offset));
        Bytes::from(bytes.collect::<Vec<u8>>())
    }
}
