//! One request and its answer on a connection to a target.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};

use crate::{
    connection::Connection,
    message::{self, Decoder, Framing, Request, Response},
};

/// Most bytes of an answer's head.
const HEAD_BYTES: usize = 64 * 1024;
/// Largest body that is held in memory. The caller gets a larger one while it arrives.
const HELD_BYTES: usize = 1024 * 1024;
/// Answers to other requests that are passed over before the awaited one.
const MOST_FOREIGN: u32 = 3;

/// An answer, whole or as far as it is held in memory.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) answer: Response,
    pub(crate) body: Bytes,
    /// Decoder of the part that is still to be read.
    pub(crate) rest: Option<Decoder>,
    /// Whether the connection can take another request.
    pub(crate) is_reusable: bool,
}

/// Reason why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Fault {
    /// The connection ended or broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The bytes are not an answer.
    #[error("{0}")]
    Message(#[from] message::Error),
    /// The answer belongs to other requests.
    #[error("the answers belong to other requests")]
    Foreign,
}

/// What a request carries besides its own head.
#[derive(Debug)]
pub(crate) struct Addition<'a> {
    pub(crate) name: &'static str,
    pub(crate) value: &'a str,
}

/// Encodes a request for a target.
pub(crate) fn encode(request: &Request, body: &[u8], additions: &[Addition<'_>]) -> BytesMut {
    let mut wire = BytesMut::with_capacity(512 + body.len());
    wire.put_slice(&request.method);
    wire.put_u8(b' ');
    wire.put_slice(&request.target);
    wire.put_slice(b" HTTP/1.1\r\n");
    let replaced = |name: &[u8]| {
        let mut names = additions.iter().map(|a| a.name.as_bytes());
        names.any(|n| n.eq_ignore_ascii_case(name))
    };
    let nominated = |name: &[u8]| {
        let name = std::str::from_utf8(name).unwrap_or_default();
        request.headers.has_token("connection", name)
    };
    for (name, value) in &request.headers.0 {
        if !message::is_end_to_end(name) || replaced(name) || nominated(name) {
            continue;
        }
        put_line(&mut wire, name, value);
    }
    for addition in additions {
        put_line(
            &mut wire,
            addition.name.as_bytes(),
            addition.value.as_bytes(),
        );
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

/// Reads the answer to the request with an id. An answer to another request, which a target sent
/// late or twice, is passed over.
pub(crate) async fn receive(
    connection: &mut Connection,
    id_header: &str,
    id: &str,
    to_head: bool,
) -> Result<Received, Fault> {
    for foreign in 0..MOST_FOREIGN {
        let answer = head(connection, to_head).await?;
        let is_own = answer.headers.get(id_header) == Some(id);
        let mut received = body(connection, answer).await?;
        if is_own {
            received.is_reusable &= foreign == 0;
            return Ok(received);
        }
        if received.rest.is_some() {
            break;
        }
    }
    Err(Fault::Foreign)
}

async fn head(connection: &mut Connection, to_head: bool) -> Result<Response, Fault> {
    loop {
        match message::take_response(&mut connection.buffer, HEAD_BYTES, to_head)? {
            Some(answer) if answer.status >= 200 => return Ok(answer),
            Some(_) => {}
            None => {
                if !connection.read().await? {
                    return Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
    }
}

async fn body(connection: &mut Connection, answer: Response) -> Result<Received, Fault> {
    let mut decoder = Decoder::new(answer.framing);
    let mut held = BytesMut::new();
    while !decoder.is_done() && held.len() < HELD_BYTES {
        if let Some(bytes) = decoder.take(&mut connection.buffer)? {
            held.extend_from_slice(&bytes);
            continue;
        }
        if decoder.is_done() || connection.read().await? {
            continue;
        }
        if decoder.ends_with_connection() {
            decoder = Decoder::new(Framing::Length(0));
            continue;
        }
        return Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into()));
    }
    let is_done = decoder.is_done();
    Ok(Received {
        is_reusable: is_done && answer.keeps_alive && connection.buffer.is_empty(),
        rest: (!is_done).then_some(decoder),
        body: held.freeze(),
        answer,
    })
}
