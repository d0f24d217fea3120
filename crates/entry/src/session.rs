//! Requests of one caller's connection: they are parsed and started, and their replies wait in order.

use std::{pin::Pin, rc::Rc};

use bytes::BytesMut;
use futures_util::stream::FuturesOrdered;
use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::config::Limits;
use tokio::net::TcpStream;

use crate::{
    activity::Stage,
    arrivals::Arrivals,
    body::Reservation,
    connection,
    delivery::Response,
    job::Incoming,
    message::{self, Decoder, Framing, Request},
    occupancy::{self, Level},
    presence::Presence,
    proxy,
    reply::{Problem, RETRY_AFTER_BUSY_MS, Reply},
    route,
    shared::Shared,
    stop::Phase,
};

/// Bytes that are buffered behind the running requests before reading stops.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Time for which a connection stays open without a request although there are many connections: its
/// caller may just have connected, or got a reply.
const MIN_IDLE_TIME: Span = Span::from_millis(500);
/// Largest number of requests of one connection that run concurrently.
const MAX_PIPELINED_REQUESTS: usize = 16;

type Pending = FuturesOrdered<Pin<Box<dyn Future<Output = Response>>>>;

/// How a connection was accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    /// Whether another host forwards requests on the connection.
    pub(crate) is_forwarded: bool,
    /// Since when it may have waited to be accepted, if it had to.
    pub(crate) blocked_since: Option<Instant>,
    /// Whether its requests are refused, since it is beyond the limit.
    pub(crate) is_refused: bool,
}

/// State of a caller's connection.
pub(crate) struct Session {
    pub(crate) shared: Rc<Shared>,
    /// Number of the connection.
    number: u64,
    caller: Presence,
    /// Whether another host forwards requests on the connection.
    is_forwarded: bool,
    /// Whether requests are refused, since the connection is beyond the limit.
    is_refused: bool,
    /// Bytes that were read and belong to no request yet.
    pub(crate) buffer: BytesMut,
    /// When the bytes in the buffer arrived.
    arrivals: Arrivals,
    /// Replies in the order of their requests.
    pub(crate) pending: Pending,
    /// Request whose body is not complete yet.
    partial: Option<Partial>,
    /// When the first byte of an incomplete head arrived.
    head_since: Option<Instant>,
    pub(crate) idle_since: Instant,
    /// Whether no further requests are read, because a pending reply closes the connection.
    is_closed: bool,
}

struct Partial {
    head: Request,
    decoder: Decoder,
    body: BytesMut,
    reservation: Reservation,
    /// Earliest time at which the first byte of the request can have arrived.
    received: Instant,
}

impl Session {
    /// Creates the session of an accepted connection.
    pub(crate) fn new(shared: Rc<Shared>, stream: Rc<TcpStream>, origin: Origin) -> Self {
        let number = shared.accepted_connections.get() + 1;
        shared.accepted_connections.set(number);
        let now = shared.now();
        let established = now - shared.lag.current(now);
        // Asks the kernel: a caller may also have connected early and sent nothing yet.
        let waiting = origin
            .blocked_since
            .filter(|_| connection::has_unread_bytes(&stream));
        let arrivals = waiting.map_or(Arrivals::new(established), Arrivals::of_waiting);
        Self {
            number,
            caller: Presence::new(stream),
            is_forwarded: origin.is_forwarded,
            is_refused: origin.is_refused,
            buffer: BytesMut::new(),
            arrivals,
            pending: FuturesOrdered::new(),
            partial: None,
            head_since: None,
            idle_since: now,
            is_closed: false,
            shared,
        }
    }

    /// Records that bytes were read into the buffer.
    pub(crate) fn record_read(&mut self) {
        let now = self.shared.now();
        let lag = self.shared.lag.current(now);
        let is_drained = self.buffer.len() < self.buffer.capacity();
        self.arrivals
            .record(now, lag, self.buffer.len(), is_drained);
    }

    /// Parses the buffer and starts the requests that are complete.
    pub(crate) fn parse(&mut self) {
        while !self.is_closed && self.pending.len() < self.max_pending() {
            let is_started = match self.partial.take() {
                Some(partial) => self.continue_body(partial),
                None => self.start_head(),
            };
            self.arrivals.retain(self.buffer.len());
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
        let now = self.shared.now();
        let received = self.arrivals.oldest().unwrap_or(now);
        let added_bytes = match self.is_forwarded {
            true => route::MAX_HEADER_BYTES,
            false => 0,
        };
        let max_bytes = limits.header_bytes.saturating_add(added_bytes);
        let head = message::take_request(&mut self.buffer, max_bytes);
        match head {
            Ok(Some(_)) if self.is_refused => Err(occupancy::FULL),
            Ok(Some(head)) => {
                self.head_since = None;
                let mut partial = Partial {
                    decoder: Decoder::new(head.framing),
                    head,
                    body: BytesMut::new(),
                    reservation: Reservation::new(self.shared.clone()),
                    received,
                };
                if let Framing::Length(length) = partial.head.framing {
                    self.reserve_body(&mut partial, length)?;
                }
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
            let length = partial.body.len() as u64;
            self.reserve_body(&mut partial, length)?;
        }
        self.start(partial);
        Ok(true)
    }

    /// Reserves memory for the bytes of a body. A body that is too long, or finds no room among those
    /// of the other requests, is not read.
    fn reserve_body(&self, partial: &mut Partial, length: u64) -> Result<(), Problem> {
        if length > self.limits().body_bytes as u64 {
            return Err(Problem::new(413, "the body is too long"));
        }
        match partial.reservation.extend_to(length) {
            true => Ok(()),
            false => Err(Problem::refusal(
                "the bodies of other requests take the memory for bodies",
                RETRY_AFTER_BUSY_MS,
            )),
        }
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
            _reservation: partial.reservation,
            received,
            activity: activity.clone(),
            caller: self.caller.clone(),
            is_forwarded: self.is_forwarded,
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
    pub(crate) fn closes_after(&mut self, response: &Response) -> bool {
        self.is_closed |= response.reply.closes || !response.keeps_alive;
        let is_closing = self.is_closed
            || self.shared.stop.has_reached(Phase::Stopping)
            || self.shared.occupancy() >= Level::Crowded;
        is_closing && self.pending.is_empty()
    }

    /// Returns whether more bytes can be read ahead.
    pub(crate) fn has_space(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD_BYTES
    }

    fn limits(&self) -> Limits {
        let config = self.shared.config.borrow();
        config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns whether the connection can be closed.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && self.is_idle()
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.partial.is_none()
    }

    /// Returns whether the connection is closed because it is idle: in a planned stop, for longer than
    /// allowed, or since there are many connections.
    pub(crate) fn closes_idle(&self, stream: &TcpStream) -> bool {
        let idle_time = self.shared.now().since(self.idle_since);
        let is_due = self.shared.stop.has_reached(Phase::Closing)
            || idle_time >= self.limits().idle_timeout
            || idle_time >= MIN_IDLE_TIME && self.shared.occupancy() >= Level::Crowded;
        let is_idle = self.is_idle() && self.buffer.is_empty();
        is_due && is_idle && !connection::has_unread_bytes(stream)
    }

    /// Returns when the next time limit expires.
    pub(crate) fn wakes_at(&self) -> tokio::time::Instant {
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
    pub(crate) fn handle_timeout(&mut self) {
        if self.head_since.is_some() || self.partial.is_some() {
            self.partial = None;
            self.head_since = None;
            self.buffer.clear();
            self.reject(Problem::new(408, "the request did not arrive in time"));
        }
    }
}
