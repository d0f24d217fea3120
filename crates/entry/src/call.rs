//! HTTP client for requests of the control path: to the platform's store, to targets and to other
//! hosts.

use std::{cell::Cell, io, net::SocketAddr, pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::time::timeout;

use crate::{
    connection::{self, Connection},
    message::{self, Decoder, Headers},
};

/// Largest head of a response, together with the interim responses before it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of responses to other calls that are skipped before the response to a call.
const MAX_SKIPPED: u32 = 4;

/// A request of the control path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers in addition to `Host` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if the method is `GET`.
    pub body: Bytes,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers as received.
    pub headers: Headers,
    /// Decoded body.
    pub body: Bytes,
}

/// Reason why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was opened, so the call was not sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection ended without a response; the call may have been executed.
    #[error("the connection ended without a response: {0}")]
    Broken(io::Error),
    /// The response is malformed; the call may have been executed.
    #[error("the response is not an HTTP/1.1 message: {0}")]
    Message(#[from] message::Error),
    /// The answers on the connection may be those to other calls; the call may have been executed.
    #[error("the answers on the connection may be those to other calls")]
    Unattributed,
    /// The call was not sent, since it was not valid any more when its bytes could leave.
    #[error("the call was not valid any more when it could be sent")]
    Expired,
    /// No response came in time; the call may have been executed.
    #[error("no response within {0:?}")]
    Timeout(Duration),
}

/// Which call a response answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The call for which it was read.
    Own,
    /// Another call.
    Other,
    /// The response does not say.
    Unnamed,
}

impl From<connection::Error> for Error {
    fn from(error: connection::Error) -> Self {
        match error {
            connection::Error::Broken(error) => Self::Broken(error),
            connection::Error::Message(error) => Self::Message(error),
        }
    }
}

/// HTTP client for one address. It reuses its connection and never retries a call.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    max_body_bytes: usize,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client, which connects on its first call. `max_body_bytes` is the size of the
    /// largest body that it accepts.
    pub fn new(address: SocketAddr, max_body_bytes: usize) -> Self {
        Self {
            address,
            max_body_bytes,
            connection: None,
        }
    }

    /// Tells whether the connection of the last call is kept.
    pub(crate) fn has_connection(&self) -> bool {
        self.connection.is_some()
    }

    /// Drops the connection if the peer has closed it or sent bytes on it. Tells whether it is left.
    pub(crate) fn keeps_connection(&mut self) -> bool {
        self.connection = self.connection.take().filter(Connection::is_idle);
        self.connection.is_some()
    }

    /// Sends a call and waits for the response.
    pub async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply, Error> {
        self.call_if(call, limit, || true).await
    }

    /// Sends a call if it is valid at the moment at which its first bytes leave, and waits for the
    /// response. A late event loop may send it long after it was started.
    pub async fn call_if(
        &mut self,
        call: &Call,
        limit: Duration,
        is_valid: impl Fn() -> bool,
    ) -> Result<Reply, Error> {
        self.call_named(call, limit, is_valid, |_| Subject::Own)
            .await
    }

    /// As [`Self::call_if`], to a peer that may send a response once more, late. Responses to other
    /// calls are skipped, and the connection is not kept. A response that names no call counts only on
    /// a connection that no other call has used.
    pub async fn call_named(
        &mut self,
        call: &Call,
        limit: Duration,
        is_valid: impl Fn() -> bool,
        subject: impl Fn(&Reply) -> Subject,
    ) -> Result<Reply, Error> {
        let (mut connection, is_kept) = self.connect(limit).await?;
        let wire = encode(call, self.address);
        let received = Cell::new(0);
        let exchange = async {
            send(&mut connection, &wire, is_valid).await?;
            let mut skipped = 0;
            loop {
                let (reply, keeps_alive) =
                    receive(&mut connection, self.max_body_bytes, &received).await?;
                match subject(&reply) {
                    Subject::Own => return Ok((reply, keeps_alive && skipped == 0)),
                    Subject::Other if skipped < MAX_SKIPPED => skipped += 1,
                    Subject::Unnamed if !is_kept && skipped == 0 => {
                        return Ok((reply, keeps_alive));
                    }
                    Subject::Other | Subject::Unnamed => return Err(Error::Unattributed),
                }
            }
        };
        match timeout(limit, exchange).await {
            Ok(Ok((reply, keeps_alive))) => {
                self.connection = Some(connection).filter(|_| keeps_alive);
                Ok(reply)
            }
            Ok(Err(Error::Expired)) => {
                self.connection = Some(connection);
                Err(Error::Expired)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                connection.reset();
                Err(Error::Timeout(limit))
            }
        }
    }
}

impl Client {
    /// Returns the idle connection, or opens one. Returns also whether it was kept from another call.
    async fn connect(&mut self, limit: Duration) -> Result<(Connection, bool), Error> {
        match self.connection.take().filter(Connection::is_idle) {
            Some(connection) => Ok((connection, true)),
            None => {
                let opened = Connection::open(self.address, CONNECT_TIMEOUT.min(limit)).await;
                Ok((opened.map_err(Error::Connect)?, false))
            }
        }
    }

    /// Sends a call whose response may be large. It fails if no byte of the response arrives for
    /// `idle` (noticed after twice that time at the latest), or if the response is not complete
    /// after `total`.
    pub async fn fetch(
        &mut self,
        call: &Call,
        idle: Duration,
        total: Duration,
    ) -> Result<Reply, Error> {
        let (mut connection, _) = self.connect(idle).await?;
        let wire = encode(call, self.address);
        let received = Cell::new(0);
        let exchange = async {
            send(&mut connection, &wire, || true).await?;
            receive(&mut connection, self.max_body_bytes, &received).await
        };
        match timeout(total, while_receiving(idle, &received, exchange)).await {
            Ok(Some(Ok((reply, keeps_alive)))) => {
                self.connection = Some(connection).filter(|_| keeps_alive);
                Ok(reply)
            }
            Ok(Some(Err(error))) => Err(error),
            Ok(None) => {
                connection.reset();
                Err(Error::Timeout(idle))
            }
            Err(_) => {
                connection.reset();
                Err(Error::Timeout(total))
            }
        }
    }
}

/// Waits for an exchange for as long as the number of received bytes grows.
async fn while_receiving<T>(
    idle: Duration,
    received: &Cell<usize>,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = pin!(exchange);
    loop {
        let before = received.get();
        match timeout(idle, &mut exchange).await {
            Ok(outcome) => return Some(outcome),
            Err(_) if received.get() == before => return None,
            Err(_) => {}
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

/// Sends a call if it is valid at the moment at which its first bytes leave.
async fn send(
    connection: &mut Connection,
    wire: &[u8],
    is_valid: impl Fn() -> bool,
) -> Result<(), Error> {
    let is_sent = connection.write_if(wire, is_valid).await;
    match is_sent.map_err(Error::Broken)? {
        true => Ok(()),
        false => Err(Error::Expired),
    }
}

/// Reads the response. `received` counts the bytes of its body.
async fn receive(
    connection: &mut Connection,
    max_body_bytes: usize,
    received: &Cell<usize>,
) -> Result<(Reply, bool), Error> {
    let response = connection.read_head(MAX_HEAD_BYTES, false).await?;
    let mut decoder = Decoder::new(response.framing);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder.take(&mut connection.buffer)? {
            Some(bytes) => {
                body.extend_from_slice(&bytes);
                received.set(body.len());
            }
            None if decoder.is_done() => break,
            None if decoder.ends_with_connection() => {
                if !connection.read().await.map_err(Error::Broken)? {
                    break;
                }
            }
            None => read(connection).await?,
        }
        if body.len() > max_body_bytes {
            return Err(Error::Message(message::Error::BodyTooLong));
        }
    }
    let keeps_alive = response.keeps_alive && connection.buffer.is_empty();
    let reply = Reply {
        status: response.status,
        headers: response.headers,
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
