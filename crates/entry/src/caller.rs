//! Connections of callers. Requests of one connection run concurrently; their replies are sent in
//! the order of the requests.

use std::{io, rc::Rc, time::Duration};

use futures_util::StreamExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{sleep_until, timeout},
};

use crate::{connection::Connection, delivery, session::Session, shared::Shared, stop::Phase};

/// Bytes that are buffered behind the running requests before reading stops.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Longest time for which a closed connection waits for the caller to close it too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections of callers until a planned stop closes idle connections.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    while !shared.stop.has_reached(Phase::Closing) {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => start(&shared, stream),
            Err(error) => {
                log::warn!(error = error.to_string(); "connection of a caller can't be accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    if let Err(error) = accept_waiting(&shared, listener) {
        log::warn!(error = error.to_string(); "connection of a caller can't be accepted");
    }
}

/// Accepts the connections that wait in the listener's queue, since closing the listener resets
/// them. The event loop may not have reported them yet, so this asks the kernel.
fn accept_waiting(shared: &Rc<Shared>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    for stream in listener.incoming().map_while(Result::ok) {
        stream.set_nonblocking(true)?;
        start(shared, TcpStream::from_std(stream)?);
    }
    Ok(())
}

/// Starts a task that serves a connection.
fn start(shared: &Rc<Shared>, stream: TcpStream) {
    // Counted before the task first runs, since a planned stop waits until the count is 0.
    let guard = CountGuard::new(shared.clone());
    tokio::task::spawn_local(async move {
        serve(guard.0.clone(), stream).await;
    });
}

/// Counts a connection as open until it is dropped.
struct CountGuard(Rc<Shared>);

impl CountGuard {
    fn new(shared: Rc<Shared>) -> Self {
        let count = &shared.caller_connections;
        count.set(count.get() + 1);
        Self(shared)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = &self.0.caller_connections;
        count.set(count.get() - 1);
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let (stream, buffer) = Connection::new(stream).into_parts();
    let (mut reader, mut writer) = stream.into_split();
    let mut session = Session::new(shared.clone(), buffer);
    loop {
        session.parse();
        if session.is_finished() {
            break;
        }
        if session.closes_idle(reader.as_ref()) {
            // Not lingering: the caller has its last reply, and a request that arrives from now on
            // stays unread, so its caller may send it again.
            return;
        }
        let reads = session.buffer.len() < MAX_READ_AHEAD_BYTES;
        let wakes_at = session.wakes_at();
        session.buffer.reserve(4 * 1024);
        tokio::select! {
            biased;
            Some(response) = session.pending.next() => {
                let closes = session.closes_after(&response);
                if !delivery::write(&mut writer, &shared, response, closes).await || closes {
                    break;
                }
                session.idle_since = shared.now();
            }
            read = reader.read_buf(&mut session.buffer), if reads => match read {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            },
            () = shared.stop.reached(Phase::Closing), if !shared.stop.has_reached(Phase::Closing) => {}
            () = sleep_until(wakes_at) => session.handle_timeout(),
        }
    }
    linger(reader, writer).await;
}

/// Closes a connection without a reset, which would discard a reply in transit.
async fn linger(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf) {
    let mut discarded = [0; 4 * 1024];
    let drained = async {
        writer.shutdown().await?;
        while reader.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(LINGER_TIMEOUT, drained).await;
}
