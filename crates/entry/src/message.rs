//! Parsing of HTTP/1.1 messages: heads of requests and responses, and bodies.

use bytes::{Buf, Bytes, BytesMut};

/// Largest number of header lines of a message.
const MAX_HEADERS: usize = 100;
/// Longest line with the length of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// Largest trailer of a body. It is discarded.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Reason why a message can't be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are not HTTP/1.1.
    #[error("the bytes are not an HTTP/1.1 message")]
    Syntax,
    /// The length of the body is ambiguous or not a number.
    #[error("the length of the body is ambiguous")]
    Length,
    /// The head is longer than allowed.
    #[error("the head is longer than allowed")]
    HeadTooLong,
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    BodyTooLong,
    /// The trailer is longer than allowed.
    #[error("the trailer is longer than allowed")]
    TrailerTooLong,
}

/// A header line.
pub type Header = (Bytes, Bytes);

/// Header lines in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Returns the value of the first line with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self
            .0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        line.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns the number of lines with this name.
    pub fn count(&self, name: &str) -> usize {
        let same = |(n, _): &&Header| n.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(same).count()
    }

    /// Returns whether a header with a comma-separated list contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let same = |(n, _): &&Header| n.eq_ignore_ascii_case(name.as_bytes());
        let values = self.0.iter().filter(same);
        let mut lists = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
        lists.any(|value| {
            value
                .split(',')
                .any(|e| e.trim().eq_ignore_ascii_case(token))
        })
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method as sent.
    pub method: Bytes,
    /// Path and query as sent.
    pub target: Bytes,
    /// Headers as sent.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keeps_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers as sent.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keeps_alive: bool,
}

/// Parses the head of a request and removes it from the buffer. Returns none if it is incomplete.
pub fn take_request(buffer: &mut BytesMut, limit: usize) -> Result<Option<Request>, Error> {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limit => return Err(Error::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Syntax),
    };
    if length > limit {
        return Err(Error::HeadTooLong);
    }
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    let is_current = request.version == Some(1);
    let spans = spans(buffer, request.headers);
    let head = buffer.split_to(length).freeze();
    let headers = headers(&head, &spans);
    let framing = framing(&headers)?.unwrap_or(Framing::Length(0));
    let closes = headers.has_token("connection", "close");
    let stays = is_current || headers.has_token("connection", "keep-alive");
    Ok(Some(Request {
        method: Bytes::from(method),
        target: Bytes::from(target),
        headers,
        framing,
        keeps_alive: stays && !closes,
    }))
}

/// Parses the head of a response and removes it from the buffer. Returns none if it is incomplete.
/// The response to a `HEAD` request, for which `to_head` is set, has no body.
pub fn take_response(
    buffer: &mut BytesMut,
    limit: usize,
    to_head: bool,
) -> Result<Option<Response>, Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limit => return Err(Error::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Syntax),
    };
    let status = response.code.unwrap_or_default();
    let is_current = response.version == Some(1);
    let spans = spans(buffer, response.headers);
    let head = buffer.split_to(length).freeze();
    let headers = headers(&head, &spans);
    let has_no_body = to_head || status < 200 || status == 204 || status == 304;
    let framing = match framing(&headers)? {
        _ if has_no_body => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let closes = headers.has_token("connection", "close") || framing == Framing::UntilClose;
    let stays = is_current || headers.has_token("connection", "keep-alive");
    Ok(Some(Response {
        status,
        headers,
        framing,
        keeps_alive: stays && !closes,
    }))
}

type Span = (usize, usize, usize, usize);

fn spans(buffer: &[u8], lines: &[httparse::Header<'_>]) -> Vec<Span> {
    let base = buffer.as_ptr() as usize;
    let span = |line: &httparse::Header<'_>| {
        let name = line.name.as_ptr() as usize - base;
        // An empty value may point outside the buffer.
        let value = match line.value.is_empty() {
            true => 0,
            false => line.value.as_ptr() as usize - base,
        };
        (
            name,
            name + line.name.len(),
            value,
            value + line.value.len(),
        )
    };
    lines.iter().map(span).collect()
}

fn headers(head: &Bytes, spans: &[Span]) -> Headers {
    let line = |&(name, name_end, value, value_end): &Span| {
        (head.slice(name..name_end), head.slice(value..value_end))
    };
    Headers(spans.iter().map(line).collect())
}

fn framing(headers: &Headers) -> Result<Option<Framing>, Error> {
    let lengths = headers.count("content-length");
    let is_coded = headers.count("transfer-encoding") > 0;
    if is_coded {
        let value = headers.get("transfer-encoding").unwrap_or_default();
        let is_chunked = value.trim().eq_ignore_ascii_case("chunked");
        let is_sole = headers.count("transfer-encoding") == 1 && lengths == 0;
        return match is_chunked && is_sole {
            true => Ok(Some(Framing::Chunked)),
            false => Err(Error::Length),
        };
    }
    match lengths {
        0 => Ok(None),
        1 => {
            let text = headers.get("content-length").unwrap_or_default().trim();
            let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            length
                .map(|n| Some(Framing::Length(n)))
                .ok_or(Error::Length)
        }
        _ => Err(Error::Length),
    }
}

/// Incremental decoder of a body.
#[derive(Clone, Debug)]
pub struct Decoder(Progress);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// Trailer, of which this many bytes are left at most.
    Trailer(usize),
    UntilClose,
    Done,
}

impl Decoder {
    /// Creates a decoder for a framing.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => Progress::Done,
            Framing::Length(length) => Progress::Length(length),
            Framing::Chunked => Progress::ChunkSize,
            Framing::UntilClose => Progress::UntilClose,
        })
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.0 == Progress::Done
    }

    /// Returns whether the end of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.0 == Progress::UntilClose
    }

    /// Decodes the next bytes of the body and removes them from the buffer. Returns none if more
    /// input is needed or the body is complete.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        loop {
            match self.0 {
                Progress::Done => return Ok(None),
                Progress::UntilClose if buffer.is_empty() => return Ok(None),
                Progress::UntilClose => return Ok(Some(buffer.split().freeze())),
                Progress::Length(left) => return Ok(self.counted(buffer, left, false)),
                Progress::Chunk(left) => return Ok(self.counted(buffer, left, true)),
                _ => {
                    if !self.line(buffer)? {
                        return Ok(None);
                    }
                }
            }
        }
    }

    fn counted(&mut self, buffer: &mut BytesMut, left: u64, is_chunk: bool) -> Option<Bytes> {
        if buffer.is_empty() {
            return None;
        }
        let length = left.min(buffer.len() as u64);
        let left = left - length;
        self.0 = match (left, is_chunk) {
            (0, true) => Progress::ChunkEnd,
            (0, false) => Progress::Done,
            (_, true) => Progress::Chunk(left),
            (_, false) => Progress::Length(left),
        };
        Some(buffer.split_to(length as usize).freeze())
    }

    /// Parses a line between chunks. Returns false if it is incomplete.
    fn line(&mut self, buffer: &mut BytesMut) -> Result<bool, Error> {
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return match buffer.len() > MAX_CHUNK_LINE_BYTES {
                true => Err(Error::Syntax),
                false => Ok(false),
            };
        };
        let line = buffer.split_to(end + 2);
        self.0 = match self.0 {
            Progress::ChunkEnd if end > 0 => return Err(Error::Syntax),
            Progress::ChunkEnd => Progress::ChunkSize,
            Progress::Trailer(left) if end > 0 => {
                let left = left.checked_sub(line.len());
                Progress::Trailer(left.ok_or(Error::TrailerTooLong)?)
            }
            Progress::Trailer(_) => Progress::Done,
            _ => match httparse::parse_chunk_size(&line) {
                Ok(httparse::Status::Complete((_, 0))) => Progress::Trailer(MAX_TRAILER_BYTES),
                Ok(httparse::Status::Complete((_, size))) => Progress::Chunk(size),
                _ => return Err(Error::Syntax),
            },
        };
        Ok(true)
    }
}

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is forwarded. `Content-Length` is not, since the host writes its own.
pub fn is_end_to_end(name: &[u8]) -> bool {
    !HOP_BY_HOP
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
        && !name.eq_ignore_ascii_case(b"content-length")
}
