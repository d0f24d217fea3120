//! HTTP server for internal requests: readiness, metrics and other hosts.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    connection::Connection,
    message::{self, Decoder, Request as Head},
    reply::Reply,
    shared::Shared,
};

/// Longest time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest body of a request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// An internal request.
pub(crate) struct Request<'a> {
    /// Path without query.
    pub(crate) path: String,
    pub(crate) body: Bytes,
    connection: &'a Connection,
}

impl Request<'_> {
    /// Waits until the sender has closed its connection, so that it does not wait for the reply.
    pub(crate) async fn abandoned(&self) {
        self.connection.closed().await;
    }
}

/// Accepts connections and serves their requests with a handler, for as long as its task runs.
pub(crate) async fn accept<A>(shared: Rc<Shared>, listener: TcpListener, handler: A)
where
    A: AsyncFn(&Shared, &Request<'_>) -> Reply + Copy + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(shared.clone(), stream, handler));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "connection for internal requests can't be accepted");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve<A>(shared: Rc<Shared>, stream: TcpStream, handler: A)
where
    A: AsyncFn(&Shared, &Request<'_>) -> Reply,
{
    let mut connection = Connection::new(stream);
    while let Some((head, body)) = receive(&mut connection).await {
        let path = String::from_utf8_lossy(&head.target);
        let path = path.split('?').next().unwrap_or_default().to_owned();
        let request = Request {
            path,
            body,
            connection: &connection,
        };
        let reply = handler(&shared, &request).await;
        let closes = !head.keeps_alive || reply.closes;
        let wire = reply.encode(closes, head.method == "HEAD");
        if connection.write(&wire).await.is_err() || closes {
            return;
        }
    }
}

/// Reads a request. Returns none if the connection ends or the bytes are not an HTTP/1.1 request.
async fn receive(connection: &mut Connection) -> Option<(Head, Bytes)> {
    let head = loop {
        match message::take_request(&mut connection.buffer, MAX_HEAD_BYTES).ok()? {
            Some(head) => break head,
            None => read(connection).await?,
        }
    };
    let mut decoder = Decoder::new(head.framing);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder.take(&mut connection.buffer).ok()? {
            Some(bytes) => body.extend_from_slice(&bytes),
            None if decoder.is_done() => break,
            None => read(connection).await?,
        }
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some((head, body.freeze()))
}

async fn read(connection: &mut Connection) -> Option<()> {
    let read = timeout(IDLE_TIMEOUT, connection.read()).await;
    matches!(read, Ok(Ok(true))).then_some(())
}
