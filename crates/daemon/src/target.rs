//! Sends requests to targets.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    task::Poll,
};

use futures_util::{StreamExt, stream};
use ntex::{
    SharedCfg,
    client::{
        Client, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::{
        Method, StatusCode, Version,
        header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    },
    io::IoConfig,
    time::Millis,
    util::Bytes,
};
use ragwortrill_core::{
    action::Dispatch,
    event::{Event, Finish},
    pause,
    rate_limit::{InvalidRate, Statement},
    time::{Instant, Span},
};
use ragwortrill_platform::{headers, target};
use ragwortrill_wire::Header;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    exchange::{self, Body, Error, Request, Response, remaining_ms},
    node_loop::{ControlCall, Operation},
    shared::Shared,
};

/// Time limit for opening a connection. It is shorter than the margin of a lease, so that a request
/// is not sent long after the check of the lease.
const CONNECT_TIMEOUT: Millis = Millis(40);

/// Time after its deadline for which the response of a non-idempotent request is awaited, so that a
/// caller that repeats the request gets it.
const LATE_LIMIT: Span = Span::from_secs(30);

/// Time for the body of a response after the deadline, or after a late head.
const LATE_BODY_LIMIT: Span = Span::from_secs(5);

/// Maximum number of connections of a client's pool. Admission limits the requests, so the pool
/// must not. With 0, which stands for no limit, ntex 3.12 never wakes a request that waits while
/// another one opens a connection.
const POOL_LIMIT: usize = usize::MAX;

/// Maximum number of connections to a target that control calls use.
const CONTROL_CONNECTIONS: usize = 4;

thread_local! {
    /// Connections of this thread.
    static POOLS: RefCell<BTreeMap<SocketAddr, Rc<Pool>>> = const { RefCell::new(BTreeMap::new()) };
    /// Configuration of the clients of this thread. ntex 3.12 never frees what a client reads from a
    /// configuration of its own.
    static CONFIGURATION: SharedCfg = SharedCfg::new("targets")
        .add(IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT))
        .into();
}

/// Connections of this thread to a target.
struct Pool {
    /// Client for connections that are closed with their request.
    client: Client,
    /// Clients with a connection that is used again, one each. The pool of an ntex client doesn't
    /// tell whether a connection was used before.
    idle: RefCell<Vec<Client>>,
    /// Number of requests of this thread that the target runs.
    running: Cell<usize>,
    /// Whether the target's latest response named its request. If not, connections are not kept.
    is_naming: Cell<bool>,
}

/// Connection for one request.
struct Connection {
    client: Client,
    /// Whether another request may have used it.
    is_used: bool,
    /// Whether it may be used again.
    is_kept: bool,
}

impl Pool {
    async fn new() -> Result<Self, Finish> {
        Ok(Self {
            client: client().await?,
            idle: RefCell::default(),
            running: Cell::default(),
            is_naming: Cell::default(),
        })
    }

    /// Returns a connection for a request. `max_idle` is the number of connections that may be kept.
    async fn connect(&self, max_idle: usize) -> Result<Connection, Finish> {
        let is_kept = self.is_naming.get() && self.running.get() < max_idle;
        let idle = match is_kept {
            true => self.idle.borrow_mut().pop(),
            false => None,
        };
        Ok(Connection {
            is_used: idle.is_some(),
            is_kept,
            client: match idle {
                Some(client) => client,
                None if is_kept => client().await?,
                None => self.client.clone(),
            },
        })
    }

    /// Makes a connection idle whose response has been read to its end.
    fn put_back(&self, client: Client) {
        if self.is_naming.get() {
            self.idle.borrow_mut().push(client);
        }
    }

    /// Records whether the target's latest response named its request. If not, the idle connections
    /// are closed, since a response without a name counts only on a new one.
    fn set_naming(&self, is_naming: bool) {
        self.is_naming.set(is_naming);
        if !is_naming {
            self.idle.borrow_mut().clear();
        }
    }
}

/// Which request a response answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Subject {
    /// The request for which it was read.
    Own,
    /// Another request.
    Other,
    /// The response does not say.
    Unnamed,
}

impl Subject {
    fn of(response: &ClientResponse, request: &Request) -> Self {
        let named = response.headers().get(target::REQUEST_HEADER);
        let own = request.head.request.to_string();
        match named {
            Some(named) if named.as_bytes().trim_ascii() == own.as_bytes() => Self::Own,
            Some(_) => Self::Other,
            None => Self::Unnamed,
        }
    }
}

/// A request that was sent to its target. Dropped without `finish`, an idempotent one is cancelled
/// there.
pub(crate) struct RunningRequest {
    pool: Rc<Pool>,
    control_calls: mpsc::WeakSender<ControlCall>,
    /// Call that cancels the request, if it may be cancelled.
    cancellation: Option<ControlCall>,
}

impl RunningRequest {
    fn new(shared: &Shared, dispatch: &Dispatch, request: &Request, pool: Rc<Pool>) -> Self {
        pool.running.set(pool.running.get() + 1);
        Self {
            pool,
            control_calls: shared.control_calls.clone(),
            cancellation: request.head.idempotent.then(|| ControlCall {
                target: dispatch.target.clone(),
                address: dispatch.address,
                operation: Operation::Cancel(request.head.request),
            }),
        }
    }

    /// Marks the request as ended, so that it is not cancelled.
    pub(crate) fn finish(mut self) {
        self.cancellation = None;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.pool.running.set(self.pool.running.get() - 1);
        if let Some(call) = self.cancellation.take()
            && let Some(control_calls) = self.control_calls.upgrade()
            && control_calls.try_send(call).is_err()
        {
            log::debug!("a cancellation is dropped because the channel for control calls is full");
        }
    }
}

/// Returns how many connections to a target this thread may keep open between requests.
///
/// Admission limits the running requests of all threads by the slots. A thread opens a connection
/// that it keeps only while fewer than this number of its requests run, so it never has more of
/// them. The other connections are closed with their request. All threads together thus have at
/// most `sending_threads * max_idle_connections + slots` connections, and `slots` more that are
/// being closed.
fn max_idle_connections(shared: &Shared, request: &Request) -> usize {
    let table = shared.table();
    let row = table.services.get(&request.head.service);
    let left = row.map_or(0, |row| {
        let used = 2 * row.slots as usize + CONTROL_CONNECTIONS;
        (row.connections as usize).saturating_sub(used)
    });
    left / shared.sending_threads
}

async fn pool(address: SocketAddr) -> Result<Rc<Pool>, Finish> {
    if let Some(pool) = POOLS.with_borrow(|pools| pools.get(&address).cloned()) {
        return Ok(pool);
    }
    let pool = Rc::new(Pool::new().await?);
    // Another request may have created a pool while this one waited.
    Ok(POOLS.with_borrow_mut(|pools| pools.entry(address).or_insert(pool).clone()))
}

async fn client() -> Result<Client, Finish> {
    Client::builder()
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .connector::<Connector>(Connector::new().limit(POOL_LIMIT))
        .build(CONFIGURATION.with(SharedCfg::clone))
        .await
        .map_err(|_| Finish::Unsent { lapsed: false })
}

/// Sends a request to its target and returns its response, whose body is still to be read.
pub(crate) async fn send(
    shared: &Shared,
    dispatch: &Dispatch,
    request: &mut Request,
) -> Result<Response, Finish> {
    let pool = pool(dispatch.address).await?;
    let method = Method::from_bytes(request.method.as_bytes());
    let method = method.map_err(|_| Finish::Unsent { lapsed: false })?;
    let url = format!("http://{}{}", dispatch.address, request.path);
    let now = shared.clock.now();
    let max_idle = max_idle_connections(shared, request);
    let connection = pool.connect(max_idle).await?;
    let mut call = connection
        .client
        .request(method, url)
        .address(dispatch.address)
        .no_decompress()
        .set_header(target::EPOCH_HEADER, dispatch.epoch.to_string())
        .set_header(
            target::DEADLINE_HEADER,
            remaining_ms(now, dispatch.deadline).to_string(),
        )
        .set_header(target::REQUEST_HEADER, request.head.request.to_string());
    for header in &request.headers {
        call = call.header(header.name.as_str(), header.value.as_slice());
    }
    if !connection.is_kept {
        call = call.force_close();
    }
    // The lease may have ended since the node dispatched the request, so it is checked right before
    // the send.
    if shared.clock.now() >= dispatch.lease_end {
        return Err(Finish::Unsent { lapsed: true });
    }
    let running = RunningRequest::new(shared, dispatch, request, pool);
    let rest = match request.more {
        true => Some(request.rest.take().ok_or(Finish::Broken)?),
        false => None,
    };
    let prefix = request.prefix.clone();
    let sent = async {
        match rest {
            Some(rest) => {
                let prefix = stream::iter([Ok::<Bytes, Error>(prefix)]);
                call.send_stream(Box::pin(prefix.chain(rest))).await
            }
            None if prefix.is_empty() => call.send().await,
            None => call.send_body(prefix).await,
        }
    };
    let left = (dispatch.deadline + LATE_LIMIT).since(shared.clock.now());
    let Ok(sent) = timeout(left.as_duration(), sent).await else {
        // Dropped, an idempotent request is cancelled.
        return Err(Finish::Broken);
    };
    if let Ok(response) = &sent {
        let subject = Subject::of(response, request);
        running.pool.set_naming(subject != Subject::Unnamed);
        let is_own = subject == Subject::Own || subject == Subject::Unnamed && !connection.is_used;
        if !is_own {
            log::warn!(target = dispatch.target.as_str(), request = request.head.request.to_string(); "response of a target may answer another request; it is discarded");
            return Err(Finish::Broken);
        }
        report_rate_limit(shared, dispatch, response, now);
        report_leaving(shared, dispatch, response);
        report_pause(shared, dispatch, response);
    }
    // Only a connection whose response was read to its end is used again. After a refusal it is not,
    // since the target may write the refusal once more, and the request may be sent again.
    match sent {
        Ok(response) if response.headers().contains_key(target::REFUSED_HEADER) => {
            running.finish();
            Err(Finish::Shed)
        }
        Ok(response) if response.status().is_informational() || !has_end(&response, request) => {
            running.finish();
            Err(Finish::Broken)
        }
        Ok(response) => {
            let now = shared.clock.now();
            let left = (dispatch.deadline.max(now) + LATE_BODY_LIMIT).since(now);
            let is_own = Subject::of(&response, request) == Subject::Own;
            let client = (connection.is_kept && is_own).then_some(connection.client);
            let body = response.take_payload();
            let body: Body = Box::pin(body.map(|part| part.map_err(|_| Error::Broken)));
            let body = match client {
                Some(client) if is_empty(&response, request) => {
                    running.pool.put_back(client);
                    body
                }
                Some(client) => keep_at_end(body, running.pool.clone(), client),
                None => body,
            };
            Ok(into_response(response, body, running, left))
        }
        Err(error) => {
            running.finish();
            Err(failure(&error))
        }
    }
}

/// Tells the node what an answer says about its target's rate limit.
fn report_rate_limit(
    shared: &Shared,
    dispatch: &Dispatch,
    response: &ClientResponse,
    sent_at: Instant,
) {
    let stated = response.headers().get(target::RATE_LIMIT_HEADER);
    let rate = stated.map(|value| value.to_str().unwrap_or_default().parse());
    let rate = match rate.transpose() {
        Ok(rate) => rate,
        Err(error) => {
            let error: InvalidRate = error;
            log::warn!(target = dispatch.target.as_str(), error = error.to_string(); "target states a rate limit that can't be read");
            return;
        }
    };
    if rate.is_none() && !dispatch.is_limited {
        return;
    }
    shared.send_event(Event::RateStated {
        target: dispatch.target.clone(),
        statement: Statement {
            rate,
            sent_at,
            stated_at: shared.clock.now(),
        },
    });
}

/// Tells the node that a target leaves, if its answer says so.
fn report_leaving(shared: &Shared, dispatch: &Dispatch, response: &ClientResponse) {
    let stated = response.headers().get(target::LEAVING_HEADER);
    let is_leaving =
        |value: &HeaderValue| value.as_bytes().trim_ascii() == target::IS_LEAVING.as_bytes();
    if stated.is_some_and(is_leaving) {
        shared.send_event(Event::LeavingStated {
            target: dispatch.target.clone(),
            start_id: dispatch.start_id,
        });
    }
}

/// Tells the node for how long a target wants nothing, if its refusal says so.
fn report_pause(shared: &Shared, dispatch: &Dispatch, response: &ClientResponse) {
    let stated = response.headers().get(headers::RETRY_AFTER);
    let Some(value) = stated.filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE)
    else {
        return;
    };
    match value.to_str().unwrap_or_default().parse::<pause::Time>() {
        Ok(time) => shared.send_event(Event::PauseStated {
            target: dispatch.target.clone(),
            start_id: dispatch.start_id,
            answered_at: shared.clock.now(),
            time,
        }),
        Err(error) => {
            log::warn!(target = dispatch.target.as_str(), error = error.to_string(); "target states a time that can't be read")
        }
    }
}

/// Returns how a request failed, which depends on whether it may have reached its target.
///
/// ntex reports a connection that closes after the request was sent as a connect error without
/// a cause, so only connect errors with a cause count as not sent.
fn failure(error: &ClientError) -> Finish {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => Finish::Broken,
        ClientError::Connect(_) | ClientError::Url(_) => Finish::Unsent { lapsed: false },
        _ => Finish::Broken,
    }
}

/// Returns whether the response states where its body ends. Without that the body of an HTTP/1.1
/// response ends with its connection, which ntex 3.12 takes for an empty body.
fn has_end(response: &ClientResponse, request: &Request) -> bool {
    let headers = response.headers();
    has_no_body(response, request)
        || response.version() != Version::HTTP_11
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the status or the method rules out a body.
fn has_no_body(response: &ClientResponse, request: &Request) -> bool {
    request.method == "HEAD" || matches!(response.status().as_u16(), 204 | 304)
}

/// Returns whether ntex has read the whole response, so that it keeps the connection.
fn is_empty(response: &ClientResponse, request: &Request) -> bool {
    let length = response.headers().get(CONTENT_LENGTH);
    has_no_body(response, request) || length.is_some_and(|length| length.as_bytes() == b"0")
}

/// Puts a connection back once a body has been read from it to its end.
fn keep_at_end(mut body: Body, pool: Rc<Pool>, client: Client) -> Body {
    let mut client = Some(client);
    Box::pin(stream::poll_fn(move |cx| {
        let next = body.as_mut().poll_next(cx);
        match &next {
            Poll::Ready(Some(Err(_))) => drop(client.take()),
            Poll::Ready(None) => client
                .take()
                .into_iter()
                .for_each(|client| pool.put_back(client)),
            _ => {}
        }
        next
    }))
}

/// Converts a response whose body must end within a time.
fn into_response(
    response: ClientResponse,
    body: Body,
    running: RunningRequest,
    left: Span,
) -> Response {
    let headers: Vec<Header> = response
        .headers()
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    let length = response.headers().get("content-length");
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    Response {
        status: response.status().as_u16(),
        headers,
        length,
        body: exchange::limit(body, left),
        running: Some(running),
    }
}

/// Returns true if a header is passed on. The others apply to a single connection or are set by the
/// daemon itself.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let own = name.starts_with("ragwortrill-") && !name.eq_ignore_ascii_case(headers::KEY);
    !own && !HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}
