//! Serves callers' requests over HTTP.

use std::pin::Pin;

use futures_util::{FutureExt, StreamExt};
use ntex::{
    http::{
        Payload, StatusCode,
        body::{Body, SizedStream},
    },
    io::IoRef,
    time::Millis,
    util::dyn_rc_error,
    web::{self, HttpRequest, HttpResponse, HttpResponseBuilder},
};
use ragwortrill_core::{
    event::Head,
    key::Digest,
    name,
    number::Offset,
    request::{Fingerprint, Id, Run},
    time::Span,
};
use ragwortrill_platform::headers;
use ragwortrill_wire::Header;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    dispatch::{self, Context, Departure, Outcome},
    exchange::{self, Error, Request, Response, read_prefix},
    problem::{self, Problem},
    resume::ResumableRequest,
    shared::Shared,
    target::is_end_to_end,
};

/// Prefix of the paths of requests to services.
pub(crate) const PATH_PREFIX: &str = "/s/";

/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Span = Span::from_secs(3_600);

/// Time after the deadline, or the end of a graceful shutdown, in which a refusal can still state
/// that the request did not run.
const REFUSAL_GRACE: Span = Span::from_millis(100);

/// Maximum size of a request's path and headers, in bytes. With the first part of the body they fit
/// into one frame between daemons.
const MAX_HEAD_BYTES: usize = 24 * 1024;

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum size of the value of a header that the daemon reads, such as a key, in bytes.
const MAX_HEADER_VALUE_BYTES: usize = 1_024;

/// Serves a caller's request.
pub(crate) async fn handle(
    shared: web::types::State<Shared>,
    request: HttpRequest,
    web::types::Payload(payload): web::types::Payload,
) -> HttpResponse {
    let shared: Shared = (*shared).clone();
    let arrived = shared.clock.now();
    let io = request.io().cloned();
    let response = match parse(&shared, &request, payload).await {
        Ok((request, deadline)) if shared.shutdown.refuses(deadline) => {
            let problem = Problem::shutting_down(request.head.request);
            shared.metrics.request_refused(problem.reason());
            problem.response()
        }
        Ok((request, deadline)) => {
            let context = Context {
                deadline,
                forwarded: false,
                min_offset: Offset::default(),
            };
            dispatch_until_deadline(&shared, request, context, &io).await
        }
        Err(problem) => {
            shared.metrics.request_refused(problem.reason());
            problem.response()
        }
    };
    let elapsed = shared.clock.now().since(arrived);
    shared
        .metrics
        .request_answered(response.status().as_u16(), elapsed);
    response
}

/// Dispatches a request, and responds with a problem document once its deadline has passed.
///
/// A non-idempotent request that runs at a target runs on for some time if its caller disconnects or
/// the deadline passes, and its response is cached; one that still waits is not sent. An idempotent one
/// is cancelled.
async fn dispatch_until_deadline(
    shared: &Shared,
    mut request: Request,
    context: Context,
    io: &Option<IoRef>,
) -> HttpResponse {
    let id = request.head.request;
    let deadline = context.deadline;
    let time_limit = context.deadline.since(shared.clock.now());
    let resumable = ResumableRequest::new(shared, &request, time_limit);
    let left = time_limit + REFUSAL_GRACE;
    let limit = ntex::time::sleep(Millis(left.as_millis().min(u64::from(u32::MAX)) as u32));
    // Closed when this future is dropped, because the caller has left, or returns.
    let (caller, departure) = watch::channel(());
    let departure = Departure::of(departure);
    let idempotent = request.head.idempotent;
    let task_shared = shared.clone();
    let run = async move {
        dispatch::run(&task_shared, &mut request, context, departure, async || ()).await
    };
    let mut run: Pin<Box<dyn Future<Output = Option<Outcome>>>> = match idempotent {
        true => Box::pin(run.map(Some)),
        false => Box::pin(ntex::rt::spawn(run).map(Result::ok)),
    };
    let outcome = tokio::select! {
        outcome = &mut run => match outcome {
            Some(outcome) => outcome,
            None => return HttpResponse::InternalServerError().finish(),
        },
        () = limit => return unanswered(shared, Problem::late(id)),
        () = shared.shutdown.ended() => {
            drop(caller);
            // A request that still waits is refused now, and its caller may send it elsewhere.
            match tokio::time::timeout(REFUSAL_GRACE.as_duration(), run).await {
                Ok(Some(Outcome::Refused { refusal, .. })) if refusal.run() == Run::NotRun => {
                    return unanswered(shared, Problem::shutting_down(id));
                }
                Ok(Some(outcome)) => outcome,
                Ok(None) | Err(_) if shared.clock.now() < deadline => {
                    return unanswered(shared, Problem::unanswered(id));
                }
                Ok(None) | Err(_) => return unanswered(shared, Problem::late(id)),
            }
        }
    };
    match outcome {
        Outcome::Answered(mut response) => {
            resumable
                .into_iter()
                .for_each(|request| request.make_resumable(&mut response));
            response.body = exchange::limit(response.body, deadline.since(shared.clock.now()));
            respond(id, response, io.clone())
        }
        Outcome::Refused {
            refusal,
            retry_after,
            ..
        } => {
            shared.metrics.request_refused(problem::kind(refusal));
            Problem::refused(refusal, retry_after, id).response()
        }
        Outcome::Replayed { status, cached } => {
            let cached = cached.and_then(|cached| Some((cached.headers, cached.body?)));
            let Some((headers, body)) = cached else {
                return Problem::response_not_cached(id, status).response();
            };
            response_builder(id, status, &headers).body(body)
        }
    }
}

/// Replies to a request whose target does not answer it in time.
fn unanswered(shared: &Shared, problem: Problem) -> HttpResponse {
    shared.metrics.request_refused(problem.reason());
    problem.response()
}

fn respond(id: Id, response: Response, io: Option<IoRef>) -> HttpResponse {
    let mut reply = response_builder(id, response.status, &response.headers);
    // ntex checks the connection only when the body yields a part, which may take long.
    let disconnected = Box::pin(disconnection(io.clone()));
    let parts = response.body.take_until(disconnected).inspect(move |part| {
        if let (Err(_), Some(io)) = (part, &io) {
            // ntex would write an error page after the part of the body, and both together could
            // have the announced length.
            io.terminate();
        }
    });
    match response.length {
        Some(length) => {
            let parts = parts.map(|part| part.map_err(dyn_rc_error::<Error>));
            reply.body(Body::from_message(SizedStream::new(length, parts)))
        }
        None => reply.streaming(parts),
    }
}

async fn disconnection(io: Option<IoRef>) {
    match io {
        Some(io) => io.on_disconnect().await,
        None => std::future::pending().await,
    }
}

fn response_builder(id: Id, status: u16, headers: &[Header]) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponseBuilder::new(status);
    for header in headers.iter().filter(|h| is_end_to_end(&h.name)) {
        response.header(header.name.as_str(), header.value.as_slice());
    }
    response.header(headers::REQUEST, id.to_string());
    response
}

async fn parse(
    shared: &Shared,
    request: &HttpRequest,
    mut payload: Payload,
) -> Result<(Request, ragwortrill_core::time::Instant), Problem> {
    check_size(request)?;
    let (service, path) = split_path(request)?;
    let key = header(request, headers::KEY)?;
    let idempotency_key = header(request, headers::IDEMPOTENCY_KEY)?;
    let method = request.method().as_str().to_owned();
    let key_digest = key.map(|key| Digest::new(&service, key.as_bytes()));
    let generated = format!("{}-{}", shared.process, shared.next_sequence());
    let name = idempotency_key.unwrap_or(&generated);
    let routing_digest = key_digest.unwrap_or_else(|| Digest::new(&service, name.as_bytes()));
    let rules = service_rules(shared, &service, &method);
    if rules.as_ref().is_some_and(|rules| rules.keyed) && key.is_none() {
        return Err(Problem::malformed(
            "missing-key",
            StatusCode::BAD_REQUEST,
            format!(
                "service {service} is divided by key; send the header {}",
                headers::KEY
            ),
        ));
    }
    let (max_deadline, idempotent) = rules.map_or((MAX_DEADLINE, true), |rules| {
        (rules.deadline, rules.idempotent)
    });
    let deadline =
        shared.clock.now() + deadline(request)?.unwrap_or(max_deadline).min(max_deadline);
    let (prefix, more) = read_prefix(&mut payload).await.map_err(|error| {
        Problem::malformed("broken-body", StatusCode::BAD_REQUEST, error.to_string())
    })?;
    let mut left = MAX_BODY_BYTES.saturating_sub(prefix.len() as u64);
    let rest = payload.map(move |part| {
        let part = part.map_err(|_| Error::Broken)?;
        left = left.checked_sub(part.len() as u64).ok_or(Error::Broken)?;
        Ok(part)
    });
    let caller = header(request, headers::CALLER)?;
    let head = Head {
        request: Id::new(&service, routing_digest, caller.unwrap_or(""), name),
        fingerprint: Fingerprint::new(&method, &path, routing_digest, idempotency_key),
        service,
        key: key_digest,
        idempotent,
        caller: caller_hash(caller),
    };
    let request = Request {
        head,
        method,
        path,
        headers: forwarded_headers(request),
        prefix,
        rest: more.then(|| Box::pin(rest) as crate::exchange::Body),
        more,
    };
    Ok((request, deadline))
}

/// Refuses a request that is too large to be forwarded.
fn check_size(request: &HttpRequest) -> Result<(), Problem> {
    let headers = request.headers();
    let sizes = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    let size = request.path().len() + request.query_string().len() + sizes.sum::<usize>();
    if size > MAX_HEAD_BYTES {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let detail = format!("path and headers have {size} bytes; send at most {MAX_HEAD_BYTES}");
        return Err(Problem::malformed("head-too-large", status, detail));
    }
    let length = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok());
    let length: u64 = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    if length > MAX_BODY_BYTES {
        let detail = format!("the body has {length} bytes; send at most {MAX_BODY_BYTES}");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(Problem::malformed("body-too-large", status, detail));
    }
    Ok(())
}

/// Rules of the table for a request.
struct ServiceRules {
    keyed: bool,
    deadline: Span,
    idempotent: bool,
}

fn service_rules(shared: &Shared, service: &name::Service, method: &str) -> Option<ServiceRules> {
    let table = shared.table();
    let row = table.services.get(service)?;
    Some(ServiceRules {
        keyed: row.divided_by_key,
        deadline: row.deadline,
        idempotent: row.idempotent_methods.contains(method),
    })
}

fn forwarded_headers(request: &HttpRequest) -> Vec<Header> {
    let headers = request.headers().iter();
    let headers = headers.filter(|(name, _)| is_end_to_end(name.as_str()));
    headers
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Splits a path into the service and the path at the service's target.
fn split_path(request: &HttpRequest) -> Result<(name::Service, String), Problem> {
    let not_found = |detail: String| Problem::malformed("path", StatusCode::NOT_FOUND, detail);
    let path = request.path().strip_prefix(PATH_PREFIX);
    let path = path.ok_or_else(|| not_found(format!("use a path {PATH_PREFIX}SERVICE/PATH")))?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = service
        .parse()
        .map_err(|error: name::Error| not_found(error.to_string()))?;
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    Ok((service, format!("/{rest}{separator}{query}")))
}

/// Returns the hash of a caller's name.
pub(crate) fn caller_hash(caller: Option<&str>) -> u64 {
    caller.map_or(0, |caller| xxh3_64(caller.as_bytes()))
}

pub(crate) fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| text.len() <= MAX_HEADER_VALUE_BYTES);
    text.map(Some).ok_or_else(|| {
        let detail = format!("header {name} is not text of at most {MAX_HEADER_VALUE_BYTES} bytes");
        Problem::malformed("header", StatusCode::BAD_REQUEST, detail)
    })
}

fn deadline(request: &HttpRequest) -> Result<Option<Span>, Problem> {
    let Some(text) = header(request, headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    let span = millis.map(|millis| Span::from_millis(millis.min(MAX_DEADLINE.as_millis())));
    span.map(Some).ok_or_else(|| {
        let detail = format!(
            "header {} is not a number of milliseconds above 0",
            headers::DEADLINE_MS
        );
        Problem::malformed("header", StatusCode::BAD_REQUEST, detail)
    })
}
