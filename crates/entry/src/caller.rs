//! Connections of callers. Requests of one connection run concurrently; their replies are sent in
//! the order of the requests.

use std::{io, pin::Pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream::FuturesOrdered};
use ragwortrill_core::time::Instant;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{sleep_until, timeout, timeout_at},
};

use crate::{
    activity::{Guard, Stage},
    attempt,
    connection::{self, Connection},
    job::Incoming,
    message::{self, Decoder, Request},
    proxy,
    reply::{self, Problem, Reply},
    shared::Shared,
    stop::Phase,
};

/// Largest number of requests of one connection that run concurrently.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Bytes that are buffered behind the running requests before reading stops.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Longest time for which a caller accepts no bytes of its reply, or a target sends none of a
/// streamed body, before the connection is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without progress at the deadline from which the caller is the reason that its reply did not
/// end, and not the target.
const MIN_STALL: Duration = Duration::from_millis(100);
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

/// A reply and the properties of its request that its encoding depends on.
struct Response {
    reply: Reply,
    keeps_alive: bool,
    to_head: bool,
    /// When the reply was ready.
    ready: Instant,
    /// None if the request can't be read.
    activity: Option<Rc<Guard>>,
}

type Pending = FuturesOrdered<Pin<Box<dyn Future<Output = Response>>>>;

struct Session {
    shared: Rc<Shared>,
    /// Number of the connection.
    number: u64,
    buffer: BytesMut,
    pending: Pending,
    /// Request whose body is not complete yet.
    partial: Option<Partial>,
    /// When the first byte of an incomplete head arrived.
    head_since: Option<Instant>,
    idle_since: Instant,
    /// Whether no further requests are read, because a pending reply closes the connection.
    is_closed: bool,
}

struct Partial {
    head: Request,
    decoder: Decoder,
    body: BytesMut,
    received: Instant,
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let (stream, buffer) = Connection::new(stream).into_parts();
    let (mut reader, mut writer) = stream.into_split();
    let now = shared.now();
    let number = shared.accepted_connections.get() + 1;
    shared.accepted_connections.set(number);
    let mut session = Session {
        shared: shared.clone(),
        number,
        buffer,
        pending: FuturesOrdered::new(),
        partial: None,
        head_since: None,
        idle_since: now,
        is_closed: false,
    };
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
                if !write(&mut writer, &shared, response, closes).await || closes {
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

impl Session {
    /// Parses the buffer and starts the requests that are complete.
    fn parse(&mut self) {
        while !self.is_closed && self.pending.len() < self.max_pending() {
            let is_started = match self.partial.take() {
                Some(partial) => self.continue_body(partial),
                None => self.start_head(),
            };
            match is_started {
                Ok(true) => {}
                Ok(false) => return,
                Err(problem) => self.reject(problem),
            }
        }
    }

    /// Returns how many requests may run concurrently. During a planned stop it is one, since its
    /// reply closes the connection; requests after it count as not read and are not run.
    fn max_pending(&self) -> usize {
        match self.shared.stop.has_reached(Phase::Stopping) {
            true => 1,
            false => MAX_PIPELINED_REQUESTS,
        }
    }

    fn start_head(&mut self) -> Result<bool, Problem> {
        let limits = self.limits();
        let head = message::take_request(&mut self.buffer, limits.header_bytes);
        let now = self.shared.now();
        match head {
            Ok(Some(head)) => {
                self.head_since = None;
                let decoder = Decoder::new(head.framing);
                let partial = Partial {
                    head,
                    decoder,
                    body: BytesMut::new(),
                    received: now,
                };
                self.continue_body(partial)
            }
            Ok(None) => {
                if !self.buffer.is_empty() {
                    self.head_since.get_or_insert(now);
                }
                Ok(false)
            }
            Err(message::Error::HeadTooLong) => Err(Problem::new(431, "the head is too long")),
            Err(_) => Err(Problem::new(400, "the request is no HTTP/1.1 message")),
        }
    }

    /// Decodes more of a body. Returns whether the request was started.
    fn continue_body(&mut self, mut partial: Partial) -> Result<bool, Problem> {
        let limit = self.limits().body_bytes;
        loop {
            match partial.decoder.take(&mut self.buffer) {
                Ok(Some(bytes)) => partial.body.extend_from_slice(&bytes),
                Ok(None) if partial.decoder.is_done() => break,
                Ok(None) => {
                    self.partial = Some(partial);
                    return Ok(false);
                }
                Err(_) => return Err(Problem::new(400, "the body is not encoded properly")),
            }
            if partial.body.len() > limit {
                return Err(Problem::new(413, "the body is too long"));
            }
        }
        self.start(partial);
        Ok(true)
    }

    fn start(&mut self, partial: Partial) {
        let shared = self.shared.clone();
        let keeps_alive = partial.head.keeps_alive;
        let to_head = partial.head.method == "HEAD";
        self.is_closed |= !keeps_alive;
        let received = partial.received;
        let id_header = shared.protocol.headers.request_id;
        let id = partial.head.headers.get(id_header).unwrap_or_default();
        let register = &shared.active_requests;
        let activity = register.add(id.to_owned(), self.number, received);
        let incoming = Incoming {
            head: partial.head,
            body: partial.body.freeze(),
            received,
            activity: activity.clone(),
        };
        self.pending.push_back(Box::pin(async move {
            let reply = proxy::serve(shared.clone(), incoming).await;
            activity.set(Stage::Held);
            let ready = shared.now();
            let elapsed = ready.since(received);
            shared.metrics.record_response(reply.status, elapsed);
            Response {
                reply,
                keeps_alive,
                to_head,
                ready,
                activity: Some(activity),
            }
        }));
    }

    fn reject(&mut self, problem: Problem) {
        log::warn!(status = problem.status, reason = problem.reason; "request rejected");
        self.is_closed = true;
        let reply = Reply::problem(problem, None);
        let ready = self.shared.now();
        self.pending.push_back(Box::pin(async move {
            Response {
                reply,
                keeps_alive: false,
                to_head: false,
                ready,
                activity: None,
            }
        }));
    }

    /// Returns whether the connection is closed after a response. One that still has to close it
    /// while others are pending leaves that to the last of them: those requests are at targets.
    fn closes_after(&mut self, response: &Response) -> bool {
        self.is_closed |= response.reply.closes || !response.keeps_alive;
        let is_closing = self.is_closed || self.shared.stop.has_reached(Phase::Stopping);
        is_closing && self.pending.is_empty()
    }

    fn limits(&self) -> ragwortrill_router::config::Limits {
        let config = self.shared.config.borrow();
        config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns whether the connection can be closed.
    fn is_finished(&self) -> bool {
        self.is_closed && self.is_idle()
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.partial.is_none()
    }

    /// Returns whether the connection is closed because it is idle: in a planned stop, or for longer
    /// than allowed.
    fn closes_idle(&self, stream: &TcpStream) -> bool {
        let idle_time = self.shared.now().since(self.idle_since);
        let is_due =
            self.shared.stop.has_reached(Phase::Closing) || idle_time >= self.limits().idle_timeout;
        let is_idle = self.is_idle() && self.buffer.is_empty();
        is_due && is_idle && !connection::has_unread_bytes(stream)
    }

    fn wakes_at(&self) -> tokio::time::Instant {
        let limits = self.limits();
        let now = self.shared.now();
        let due = match (self.head_since, &self.partial) {
            (Some(since), _) => since + limits.header_timeout,
            (None, Some(partial)) => partial.received + limits.idle_timeout,
            (None, None) if self.pending.is_empty() => self.idle_since + limits.idle_timeout,
            (None, None) => now + limits.idle_timeout,
        };
        tokio::time::Instant::now() + due.since(now).as_duration()
    }

    /// Handles an expired time limit of a request that is not complete.
    fn handle_timeout(&mut self) {
        if self.head_since.is_some() || self.partial.is_some() {
            self.partial = None;
            self.head_since = None;
            self.buffer.clear();
            self.reject(Problem::new(408, "the request did not arrive in time"));
        }
    }
}

/// Writes a reply. Returns false if the caller did not get all of it.
async fn write(
    writer: &mut OwnedWriteHalf,
    shared: &Shared,
    response: Response,
    closes: bool,
) -> bool {
    let Response {
        reply,
        to_head,
        ready,
        activity,
        ..
    } = response;
    if let Some(activity) = &activity {
        activity.set(Stage::Replying);
        shared.metrics.record_hold(shared.now().since(ready));
    }
    let wire = reply.encode(closes, to_head);
    let written = timeout(STALL_TIMEOUT, writer.write_all(&wire)).await;
    if !matches!(written, Ok(Ok(()))) {
        return false;
    }
    match reply.remainder {
        Some(remainder) => stream(writer, shared, remainder).await,
        None => true,
    }
}

/// Reason why the rest of a body was cut off.
enum Cut {
    /// The target broke off the body, or did not end it in time.
    Target(String),
    /// The caller left, or accepts no more bytes.
    Caller,
}

/// Streams the rest of a large body to the caller, and records at its target how it ended. Returns
/// false if it was cut off.
async fn stream(writer: &mut OwnedWriteHalf, shared: &Shared, remainder: reply::Remainder) -> bool {
    let source = remainder.source.clone();
    let left = remainder.deadline.since(shared.now());
    let deadline = tokio::time::Instant::now() + left.as_duration();
    match stream_remainder(writer, remainder, deadline).await {
        Ok(()) => {
            attempt::record_success(shared, &source);
            true
        }
        Err(Cut::Target(cause)) => {
            let incarnation = &source.incarnation;
            log::warn!(target = incarnation.id.as_str(), cause = cause; "reply cut off: the rest of its body can't be read from the target");
            let now = shared.now();
            shared.with_endpoint(incarnation, |endpoint| endpoint.breaker.record_failure(now));
            false
        }
        Err(Cut::Caller) => false,
    }
}

async fn stream_remainder(
    writer: &mut OwnedWriteHalf,
    mut remainder: reply::Remainder,
    deadline: tokio::time::Instant,
) -> Result<(), Cut> {
    let is_chunked = remainder.length.is_none();
    while tokio::time::Instant::now() < deadline {
        let read = timeout_at(deadline, next_bytes(&mut remainder)).await;
        let bytes = match read {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) => return end_body(writer, is_chunked).await,
            Ok(Err(cause)) => return Err(Cut::Target(cause)),
            Err(_) => break,
        };
        let mut wire = BytesMut::new();
        match is_chunked {
            true => reply::put_chunk(&mut wire, &bytes),
            false => wire.extend_from_slice(&bytes),
        }
        let write_began = tokio::time::Instant::now();
        let limit = deadline.min(write_began + STALL_TIMEOUT);
        let written = timeout_at(limit, writer.write_all(&wire)).await;
        match written {
            Ok(Ok(())) => {}
            Err(_) if write_began.elapsed() < MIN_STALL => break,
            _ => return Err(Cut::Caller),
        }
    }
    let cause = "the body did not end within the request's deadline";
    Err(Cut::Target(cause.to_owned()))
}

async fn end_body(writer: &mut OwnedWriteHalf, is_chunked: bool) -> Result<(), Cut> {
    let end: &[u8] = if is_chunked { b"0\r\n\r\n" } else { b"" };
    writer.write_all(end).await.map_err(|_| Cut::Caller)
}

async fn next_bytes(remainder: &mut reply::Remainder) -> Result<Option<Bytes>, String> {
    loop {
        let taken = remainder.decoder.take(&mut remainder.connection.buffer);
        if let Some(bytes) = taken.map_err(|error| error.to_string())? {
            return Ok(Some(bytes));
        }
        if remainder.decoder.is_done() {
            return Ok(None);
        }
        let read = timeout(STALL_TIMEOUT, remainder.connection.read()).await;
        match read {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if remainder.decoder.ends_with_connection() => return Ok(None),
            Ok(Ok(false)) => return Err("the target closed the connection".to_owned()),
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("the target sent nothing within the stall timeout".to_owned()),
        }
    }
}
