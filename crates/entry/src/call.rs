//! Calls of the control path: to the platform's store and to targets.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::time::timeout;

use crate::{
    connection::Connection,
    message::{self, Decoder, Headers},
};

/// Most bytes of an answer's head.
const HEAD_BYTES: usize = 16 * 1024;
/// Most bytes of an answer's body.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to connect.
const CONNECT: Duration = Duration::from_millis(500);

/// A call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers besides the length and the host.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
}

/// Reason why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made; the call was not sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The call may have been carried out.
    #[error("the connection ended without an answer: {0}")]
    Broken(io::Error),
    /// The call may have been carried out.
    #[error("the answer is no HTTP/1.1 message: {0}")]
    Message(#[from] message::Error),
    /// The call may have been carried out.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A client of one address. It keeps its connection and never repeats a call.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client; it connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call and waits for its answer.
    pub async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply, Error> {
        let mut connection = match self.connection.take().filter(Connection::is_quiet) {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(self.address, CONNECT.min(limit)).await;
                opened.map_err(Error::Connect)?
            }
        };
        let wire = encode(call, self.address);
        let outcome = timeout(limit, exchange(&mut connection, &wire)).await;
        match outcome {
            Ok(Ok((reply, keeps_alive))) => {
                self.connection = Some(connection).filter(|_| keeps_alive);
                Ok(reply)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                connection.reset();
                Err(Error::Timeout(limit))
            }
        }
    }
}

fn encode(call: &Call, address: SocketAddr) -> BytesMut {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\n",
        call.method, call.path
    );
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if call.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", call.body.len()));
    }
    head.push_str("\r\n");
    let mut wire = BytesMut::from(head.as_bytes());
    wire.extend_from_slice(&call.body);
    wire
}

async fn exchange(connection: &mut Connection, wire: &[u8]) -> Result<(Reply, bool), Error> {
    connection.write(wire).await.map_err(Error::Broken)?;
    let answer = loop {
        if let Some(answer) = message::take_response(&mut connection.buffer, HEAD_BYTES, false)? {
            break answer;
        }
        read(connection).await?;
    };
    let mut decoder = Decoder::new(answer.framing);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder.take(&mut connection.buffer)? {
            Some(bytes) => body.extend_from_slice(&bytes),
            None if decoder.is_done() => break,
            None if decoder.ends_with_connection() => {
                if !connection.read().await.map_err(Error::Broken)? {
                    break;
                }
            }
            None => read(connection).await?,
        }
        if body.len() > BODY_BYTES {
            return Err(Error::Message(message::Error::Length));
        }
    }
    let keeps_alive = answer.keeps_alive && connection.buffer.is_empty();
    let reply = Reply {
        status: answer.status,
        headers: answer.headers,
        body: body.freeze(),
    };
    Ok((reply, keeps_alive))
}

async fn read(connection: &mut Connection) -> Result<(), Error> {
    match connection.read().await {
        Ok(true) => Ok(()),
        Ok(false) => Err(Error::Broken(io::ErrorKind::UnexpectedEof.into())),
        Err(error) => Err(Error::Broken(error)),
    }
}
