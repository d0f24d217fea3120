//! One request and its response on a connection to a target.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};

use crate::{
    connection::{self, Connection},
    message::{self, Decoder, Framing, Request, Response},
};

/// Largest head of a response, together with the interim responses before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body that is buffered in memory. A larger one is streamed to the caller.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;
/// Largest number of responses that are read in search of the one that belongs to the request.
const MAX_RESPONSES_READ: u32 = 3;

/// A response, whole or as far as it is buffered in memory.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) response: Response,
    pub(crate) body: Bytes,
    /// Decoder of the part of the body that is still to be read.
    pub(crate) remainder: Option<Decoder>,
    /// Whether the connection can take another request.
    pub(crate) is_reusable: bool,
}

/// Reason why a request has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection closed or failed.
    #[error("the connection to the target failed: {0}")]
    Broken(#[from] io::Error),
    /// The bytes are not an HTTP/1.1 response.
    #[error("{0}")]
    Message(#[from] message::Error),
    /// None of the responses belongs to this request.
    #[error("the target sent only responses to other requests")]
    Unrelated,
}

impl From<connection::Error> for Error {
    fn from(error: connection::Error) -> Self {
        match error {
            connection::Error::Broken(error) => Self::Broken(error),
            connection::Error::Message(error) => Self::Message(error),
        }
    }
}

/// A header that the host sets on a request to a target, in place of the caller's.
#[derive(Debug)]
pub(crate) struct ExtraHeader<'a> {
    pub(crate) name: &'static str,
    pub(crate) value: &'a str,
}

/// Encodes a request for a target.
pub(crate) fn encode(
    request: &Request,
    body: &[u8],
    extra_headers: &[ExtraHeader<'_>],
) -> BytesMut {
    let mut wire = BytesMut::with_capacity(512 + body.len());
    wire.put_slice(&request.method);
    wire.put_u8(b' ');
    wire.put_slice(&request.target);
    wire.put_slice(b" HTTP/1.1\r\n");
    let is_replaced = |name: &[u8]| {
        let mut names = extra_headers.iter().map(|a| a.name.as_bytes());
        names.any(|n| n.eq_ignore_ascii_case(name))
    };
    let is_hop_by_hop = |name: &[u8]| {
        let name = std::str::from_utf8(name).unwrap_or_default();
        request.headers.has_token("connection", name)
    };
    for (name, value) in &request.headers.0 {
        if !message::is_end_to_end(name) || is_replaced(name) || is_hop_by_hop(name) {
            continue;
        }
        put_line(&mut wire, name, value);
    }
    for extra in extra_headers {
        put_line(&mut wire, extra.name.as_bytes(), extra.value.as_bytes());
    }
    let has_body = !body.is_empty() || request.framing != Framing::Length(0);
    if has_body || matches!(request.method.as_ref(), b"POST" | b"PUT" | b"PATCH") {
        wire.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    wire.put_slice(b"\r\n");
    wire.put_slice(body);
    wire
}

fn put_line(wire: &mut BytesMut, name: &[u8], value: &[u8]) {
    wire.put_slice(name);
    wire.put_slice(b": ");
    wire.put_slice(value);
    wire.put_slice(b"\r\n");
}

/// Reads the response to the request with an id. Responses to other requests, which a target sent
/// late or twice, are skipped.
pub(crate) async fn receive(
    connection: &mut Connection,
    id_header: &str,
    id: &str,
    to_head: bool,
) -> Result<Received, Error> {
    for skipped in 0..MAX_RESPONSES_READ {
        let response = connection.read_head(MAX_HEAD_BYTES, to_head).await?;
        let is_own = response.headers.get(id_header) == Some(id);
        let mut received = read_body(connection, response).await?;
        if is_own {
            received.is_reusable &= skipped == 0;
            return Ok(received);
        }
        if received.remainder.is_some() {
            break;
        }
    }
    Err(Error::Unrelated)
}

async fn read_body(connection: &mut Connection, response: Response) -> Result<Received, Error> {
    let mut decoder = Decoder::new(response.framing);
    let mut buffered = BytesMut::new();
    while !decoder.is_done() && buffered.len() < MAX_BUFFERED_BODY_BYTES {
        if let Some(bytes) = decoder.take(&mut connection.buffer)? {
            buffered.extend_from_slice(&bytes);
            continue;
        }
        if decoder.is_done() || connection.read().await? {
            continue;
        }
        if decoder.ends_with_connection() {
            decoder = Decoder::new(Framing::Length(0));
            continue;
        }
        return Err(Error::Broken(io::ErrorKind::UnexpectedEof.into()));
    }
    let is_done = decoder.is_done();
    Ok(Received {
        is_reusable: is_done && response.keeps_alive && connection.buffer.is_empty(),
        remainder: (!is_done).then_some(decoder),
        body: buffered.freeze(),
        response,
    })
}
