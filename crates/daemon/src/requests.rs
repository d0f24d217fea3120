//! Progress of requests, for the callers that sent them.

use std::{collections::BTreeMap, time::Duration};

use ntex::web::{self, HttpRequest, HttpResponse};
use ragwortrill_core::{lookup, name, report, request};
use ragwortrill_platform::headers;
use ragwortrill_wire::{Frame, Header, Lookup, Response, Stream};
use serde::Serialize;

use crate::{answers::Kept, callers, forward::send_chunks, link::Link, shell::Shell};

/// Path that shows the progress of a request.
pub(crate) const PATH: &str = "/requests/{service}/{id}";

/// Time allowed to the holder of the request's target.
const HOLDER_TIME: Duration = Duration::from_secs(1);

/// What a caller is told of its request.
#[derive(Serialize)]
struct Page {
    #[serde(flatten)]
    request: report::Request,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Body>,
}

/// A kept answer.
#[derive(Serialize)]
struct Body {
    headers: BTreeMap<String, String>,
    body: String,
}

/// Shows the progress of a request. Its answer is shown to the caller that sent it only.
pub(crate) async fn handle(
    shell: web::types::State<Shell>,
    request: HttpRequest,
    path: web::types::Path<(name::Service, request::Id)>,
) -> HttpResponse {
    let (service, id) = path.into_inner();
    let caller = match callers::header(&request, headers::CALLER) {
        Ok(caller) => callers::hash(caller),
        Err(problem) => return problem.response(),
    };
    let Some(found) = look(&shell, service.clone(), id).await else {
        return HttpResponse::ServiceUnavailable().body("the daemon is busy or ends; retry\n");
    };
    let link = found.holder.and_then(|holder| shell.link(&holder.process));
    if let Some(link) = link
        && let Some(page) = ask(&link, service, id, caller).await
    {
        return respond(page);
    }
    respond(page(&shell, found.request, caller))
}

fn respond(page: Option<Vec<u8>>) -> HttpResponse {
    match page {
        Some(page) => HttpResponse::Ok()
            .content_type("application/json")
            .body(page),
        None => HttpResponse::NotFound().body("no such request; check the service and the id\n"),
    }
}

async fn look(shell: &Shell, service: name::Service, id: request::Id) -> Option<lookup::Lookup> {
    shell.inspect(move |node| node.look_up(&service, id)).await
}

fn page(shell: &Shell, request: Option<report::Request>, caller: u64) -> Option<Vec<u8>> {
    let request = request?;
    let answer = shell.answers.find(request.id, caller).and_then(body);
    serde_json::to_vec(&Page { request, answer }).ok()
}

fn body(kept: Kept) -> Option<Body> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let headers = kept.headers.iter();
    Some(Body {
        headers: headers.map(|h| (h.name.clone(), text(&h.value))).collect(),
        body: text(&kept.body?),
    })
}

/// Asks the holder. Returns `None` if it does not answer, and no page if it knows no such request.
async fn ask(
    link: &Link,
    service: name::Service,
    request: request::Id,
    caller: u64,
) -> Option<Option<Vec<u8>>> {
    let (stream, mut frames) = link.start();
    let lookup_request = Lookup {
        stream,
        service,
        request,
        caller,
    };
    let answer = async {
        let mut page = Vec::new();
        link.send(Frame::Lookup(lookup_request)).await;
        loop {
            match frames.recv().await? {
                Frame::Response(head) if head.status != 200 => return Some(None),
                Frame::Chunk { bytes, last, .. } => {
                    page.extend_from_slice(&bytes);
                    if last {
                        return Some(Some(page));
                    }
                }
                _ => {}
            }
        }
    };
    let answer = tokio::time::timeout(HOLDER_TIME, answer).await;
    link.streams().close(stream);
    answer.ok().flatten()
}

/// Answers another daemon's question.
pub(crate) async fn serve(shell: Shell, link: Link, lookup_request: Lookup) {
    let Lookup {
        stream,
        service,
        request,
        caller,
    } = lookup_request;
    let found = look(&shell, service, request).await;
    let page = found.and_then(|found| page(&shell, found.request, caller));
    let head = |stream: Stream, status: u16| {
        Frame::Response(Response {
            stream,
            status,
            headers: Vec::<Header>::new(),
        })
    };
    match page {
        None => {
            link.send(head(stream, 404)).await;
        }
        Some(page) => {
            link.send(head(stream, 200)).await;
            send_chunks(&link, stream, &page, true).await;
        }
    }
}
