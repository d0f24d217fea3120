//! Connections of callers. Requests of one connection run concurrently; their replies are sent in
//! the order of the requests.

use std::{io, rc::Rc, time::Duration};

use bytes::BytesMut;
use futures_util::StreamExt;
use ragwortrill_core::time::{Instant, Span};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep_until, timeout},
};

use crate::{
    connection::{self, Connection},
    delivery::{self, Response},
    occupancy::Level,
    session::{Origin, Session},
    shared::Shared,
    stop::Phase,
};

/// Longest time for which a closed connection waits for the caller to close it too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest interval at which idle connections are closed while there are many connections.
const CROWDED_INTERVAL: Span = Span::from_millis(500);
/// Time after a connection that could not be accepted until the next is tried.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections of callers until a planned stop closes idle connections.
///
/// `is_forwarded` tells whether other hosts forward their callers' requests on them.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener, is_forwarded: bool) {
    // Since when connections may wait in the listener's queue because none can be accepted.
    let mut blocked_since = None;
    while !shared.stop.has_reached(Phase::Closing) {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                start(&shared, stream, is_forwarded, blocked_since);
                blocked_since = blocked_since.filter(|_| connection::is_readable(&listener));
            }
            Err(error) => {
                let now = shared.now();
                blocked_since.get_or_insert(now - shared.lag.current(now));
                log_failure(&shared, &error);
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    if let Err(error) = accept_waiting(&shared, listener, is_forwarded, blocked_since) {
        log::warn!(error = error.to_string(); "connection of a caller can't be accepted");
    }
}

fn log_failure(shared: &Shared, error: &io::Error) {
    let endpoints = shared.endpoints.borrow();
    let to_targets: u32 = endpoints.values().map(|e| e.pool.open_count()).sum();
    let idle: usize = endpoints.values().map(|e| e.pool.idle_count()).sum();
    log::warn!(
        error = error.to_string(), callers = shared.caller_connections.get(),
        requests = shared.active_requests.len(), to_targets = to_targets, idle_to_targets = idle;
        "connection of a caller can't be accepted"
    );
}

/// Accepts the connections that wait in the listener's queue, since closing the listener resets
/// them. The event loop may not have reported them yet, so this asks the kernel.
fn accept_waiting(
    shared: &Rc<Shared>,
    listener: TcpListener,
    is_forwarded: bool,
    blocked_since: Option<Instant>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    for stream in listener.incoming().map_while(Result::ok) {
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        start(shared, stream, is_forwarded, blocked_since);
    }
    Ok(())
}

/// Starts a task that serves a connection, unless there are too many. It may have waited since
/// `blocked_since`.
fn start(
    shared: &Rc<Shared>,
    stream: TcpStream,
    is_forwarded: bool,
    blocked_since: Option<Instant>,
) {
    let level = shared.occupancy();
    if level >= Level::Crowded {
        close_idle(shared);
    }
    if level >= Level::Exhausted {
        log::warn!(callers = shared.caller_connections.get(); "connection of a caller closed unread: there are too many");
        return;
    }
    let origin = Origin {
        is_forwarded,
        blocked_since,
        is_refused: level >= Level::Full,
    };
    // Counted before the task first runs, since a planned stop waits until the count is 0.
    let guard = CountGuard::new(shared.clone());
    tokio::task::spawn_local(async move {
        serve(guard.0.clone(), stream, origin).await;
    });
}

/// Lets idle connections of callers close, at intervals.
fn close_idle(shared: &Shared) {
    let now = shared.now();
    if now.since(shared.crowded_at.get()) >= CROWDED_INTERVAL {
        shared.crowded_at.set(now);
        shared.crowded.notify_waiters();
    }
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

async fn serve(shared: Rc<Shared>, stream: TcpStream, origin: Origin) {
    let stream = Rc::new(Connection::new(stream).into_stream());
    let mut session = Session::new(shared.clone(), stream.clone(), origin);
    // Reply that became ready while an earlier one was written.
    let mut next = None;
    loop {
        if next.is_none() {
            session.parse();
        }
        if session.is_finished() && next.is_none() {
            break;
        }
        if next.is_none() && session.closes_idle(&stream) {
            // Not lingering: the caller has its last reply, and a request that arrives from now on
            // stays unread, so its caller may send it again.
            return;
        }
        if let Some(response) = next.take() {
            let closes = session.closes_after(&response);
            match deliver(&mut session, &stream, response, closes, &mut next).await {
                Delivery::Done => {}
                Delivery::Cut => break,
                Delivery::Left => return,
            }
            if closes {
                break;
            }
            session.idle_since = shared.now();
            continue;
        }
        let reads = session.has_space();
        let wakes_at = session.wakes_at();
        session.buffer.reserve(4 * 1024);
        tokio::select! {
            biased;
            Some(response) = session.pending.next() => next = Some(response),
            read = connection::read(&stream, &mut session.buffer), if reads => match read {
                Ok(false) | Err(_) => return,
                Ok(true) => session.record_read(),
            },
            () = shared.stop.reached(Phase::Closing), if !shared.stop.has_reached(Phase::Closing) => {}
            () = shared.crowded.notified() => {}
            () = sleep_until(wakes_at) => session.handle_timeout(),
        }
    }
    linger(&stream).await;
}

/// End of the delivery of a reply.
enum Delivery {
    /// The caller has the reply.
    Done,
    /// The reply is not whole.
    Cut,
    /// The caller left during the reply.
    Left,
}

/// Writes a reply, and sets `next` if the reply to the next request becomes ready meanwhile. A caller
/// that leaves is noticed although the target of a streamed reply sends nothing.
async fn deliver(
    session: &mut Session,
    stream: &TcpStream,
    response: Response,
    closes: bool,
    next: &mut Option<Response>,
) -> Delivery {
    let shared = session.shared.clone();
    let is_streamed = response.reply.remainder.is_some();
    let mut reads = session.has_space();
    let writing = delivery::write(stream, &shared, response, closes);
    tokio::pin!(writing);
    loop {
        session.buffer.reserve(4 * 1024);
        tokio::select! {
            biased;
            is_whole = &mut writing => return match is_whole {
                true => Delivery::Done,
                false => Delivery::Cut,
            },
            Some(response) = session.pending.next(), if next.is_none() => *next = Some(response),
            read = connection::read(stream, &mut session.buffer), if reads => match read {
                Ok(true) => {
                    session.record_read();
                    reads = session.has_space();
                }
                Ok(false) | Err(_) if is_streamed => return Delivery::Left,
                Ok(false) | Err(_) => reads = false,
            },
        }
    }
}

/// Closes a connection without a reset, which would discard a reply in transit.
async fn linger(stream: &TcpStream) {
    let mut discarded = BytesMut::with_capacity(4 * 1024);
    let drained = async {
        connection::end(stream)?;
        while connection::read(stream, &mut discarded).await? {
            discarded.clear();
        }
        io::Result::Ok(())
    };
    let _ = timeout(LINGER_TIMEOUT, drained).await;
}
