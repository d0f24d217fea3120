//! Reports the progress of requests to the callers that sent them.

use std::{collections::BTreeMap, time::Duration};

use ntex::web::{self, HttpRequest, HttpResponse};
use ragwortrill_core::{lookup, name, report, request};
use ragwortrill_platform::headers;
use ragwortrill_wire::{Frame, Header, Lookup, Response, Stream};
use serde::Serialize;

use crate::{
    callers, forward::send_chunks, link::Link, response_cache::CachedResponse, shared::Shared,
};

/// Path of the report on a request.
pub(crate) const PATH: &str = "/requests/{service}/{id}";

/// Time limit for a reply by the holder of the request's target.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Report on a request.
#[derive(Serialize)]
struct RequestProgress {
    #[serde(flatten)]
    request: report::Request,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<ResponseReport>,
}

/// Cached response of a request.
#[derive(Serialize)]
struct ResponseReport {
    headers: BTreeMap<String, String>,
    body: String,
}

/// Reports the progress of a request. The report includes the response only for the caller that
/// sent the request.
pub(crate) async fn handle(
    shared: web::types::State<Shared>,
    request: HttpRequest,
    path: web::types::Path<(name::Service, request::Id)>,
) -> HttpResponse {
    let (service, id) = path.into_inner();
    let caller = match callers::header(&request, headers::CALLER) {
        Ok(caller) => callers::caller_hash(caller),
        Err(problem) => return problem.response(),
    };
    let Some(found) = look_up(&shared, service.clone(), id).await else {
        return HttpResponse::ServiceUnavailable().body("the daemon is busy or ends; retry\n");
    };
    let link = found.holder.and_then(|holder| shared.link(&holder.process));
    if let Some(link) = link
        && let Some(json) = query_holder(&link, service, id, caller).await
    {
        return respond(json);
    }
    respond(encode_report(&shared, found.request, caller))
}

fn respond(json: Option<Vec<u8>>) -> HttpResponse {
    match json {
        Some(json) => HttpResponse::Ok()
            .content_type("application/json")
            .body(json),
        None => HttpResponse::NotFound().body("no such request; check the service and the id\n"),
    }
}

async fn look_up(
    shared: &Shared,
    service: name::Service,
    id: request::Id,
) -> Option<lookup::Lookup> {
    shared.inspect(move |node| node.look_up(&service, id)).await
}

fn encode_report(
    shared: &Shared,
    request: Option<report::Request>,
    caller: u64,
) -> Option<Vec<u8>> {
    let request = request?;
    let answer = shared
        .response_cache
        .find(request.id, caller)
        .and_then(body);
    serde_json::to_vec(&RequestProgress { request, answer }).ok()
}

fn body(cached: CachedResponse) -> Option<ResponseReport> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let headers = cached.headers.iter();
    Some(ResponseReport {
        headers: headers.map(|h| (h.name.clone(), text(&h.value))).collect(),
        body: text(&cached.body?),
    })
}

/// Requests the report from the holder of the target. Returns `None` if it does not reply, and
/// `Some(None)` if it has no such request.
async fn query_holder(
    link: &Link,
    service: name::Service,
    request: request::Id,
    caller: u64,
) -> Option<Option<Vec<u8>>> {
    let (stream, mut frames) = link.open_stream();
    let lookup = Lookup {
        stream,
        service,
        request,
        caller,
    };
    let reply = async {
        let mut json = Vec::new();
        link.send(Frame::Lookup(lookup)).await;
        loop {
            match frames.recv().await? {
                Frame::Response(head) if head.status != 200 => return Some(None),
                Frame::Chunk { bytes, last, .. } => {
                    json.extend_from_slice(&bytes);
                    if last {
                        return Some(Some(json));
                    }
                }
                _ => {}
            }
        }
    };
    let reply = tokio::time::timeout(HOLDER_TIMEOUT, reply).await;
    link.streams().close(stream);
    reply.ok().flatten()
}

/// Replies to another daemon's lookup.
pub(crate) async fn serve(shared: Shared, link: Link, lookup: Lookup) {
    let Lookup {
        stream,
        service,
        request,
        caller,
    } = lookup;
    let found = look_up(&shared, service, request).await;
    let json = found.and_then(|found| encode_report(&shared, found.request, caller));
    let head = |stream: Stream, status: u16| {
        Frame::Response(Response {
            stream,
            status,
            headers: Vec::<Header>::new(),
        })
    };
    match json {
        None => {
            link.send(head(stream, 404)).await;
        }
        Some(json) => {
            link.send(head(stream, 200)).await;
            send_chunks(&link, stream, &json, true).await;
        }
    }
}
