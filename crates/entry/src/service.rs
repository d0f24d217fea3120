//! Server of the interfaces besides the callers': readiness, metrics and the other hosts.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    connection::Connection,
    message::{self, Decoder, Request},
    reply::Reply,
    shared::Shared,
};

/// Longest time for which a connection is idle.
const IDLE: Duration = Duration::from_secs(15);
/// Most bytes of a question's head.
const HEAD_BYTES: usize = 8 * 1024;
/// Most bytes of a question's body.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// A question.
pub(crate) struct Question {
    /// Path without query.
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Answers questions until the listener is dropped.
pub(crate) async fn accept<A>(shared: Rc<Shared>, listener: TcpListener, answer: A)
where
    A: AsyncFn(&Shared, &Question) -> Reply + Copy + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(shared.clone(), stream, answer));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "a connection can't be accepted");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve<A>(shared: Rc<Shared>, stream: TcpStream, answer: A)
where
    A: AsyncFn(&Shared, &Question) -> Reply,
{
    let mut connection = Connection::new(stream);
    while let Some((request, body)) = receive(&mut connection).await {
        let path = String::from_utf8_lossy(&request.target);
        let path = path.split('?').next().unwrap_or_default().to_owned();
        let reply = answer(&shared, &Question { path, body }).await;
        let closes = !request.keeps_alive || reply.closes;
        let wire = reply.encode(closes, request.method == "HEAD");
        if connection.write(&wire).await.is_err() || closes {
            return;
        }
    }
}

/// Reads a question. Returns none if the connection ends or the question is no proper message.
async fn receive(connection: &mut Connection) -> Option<(Request, Bytes)> {
    let request = loop {
        match message::take_request(&mut connection.buffer, HEAD_BYTES).ok()? {
            Some(request) => break request,
            None => read(connection).await?,
        }
    };
    let mut decoder = Decoder::new(request.framing);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder.take(&mut connection.buffer).ok()? {
            Some(bytes) => body.extend_from_slice(&bytes),
            None if decoder.is_done() => break,
            None => read(connection).await?,
        }
        if body.len() > BODY_BYTES {
            return None;
        }
    }
    Some((request, body.freeze()))
}

async fn read(connection: &mut Connection) -> Option<()> {
    let read = timeout(IDLE, connection.read()).await;
    matches!(read, Ok(Ok(true))).then_some(())
}
