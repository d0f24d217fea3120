//! Stand-in of a daemon's operators' interface, with scripted responses.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use ntex::{
    http::StatusCode,
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, test::TestServer},
};
use serde_json::Value;

/// Responses by route, such as `GET /v1/table`. The last response of a route is repeated.
pub(crate) type Responses = BTreeMap<String, VecDeque<(u16, Value)>>;

/// A request that the stand-in received.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) route: String,
    pub(crate) authorization: Option<String>,
    pub(crate) body: Value,
}

/// A running stand-in. It ends when dropped.
pub(crate) struct Standin {
    server: TestServer,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Standin {
    pub(crate) async fn start(responses: Responses) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (responses, received) = (Arc::new(Mutex::new(responses)), calls.clone());
        let server = web::test::server(async move || {
            let (responses, received) = (responses.clone(), received.clone());
            App::new().default_service(web::to(move |request: HttpRequest, body: Bytes| {
                let response = respond(&request, &body, &responses, &received);
                async move { response }
            }))
        });
        let server = server.await;
        Self { server, calls }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.addr()
    }

    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no handler panics").clone()
    }
}

fn respond(
    request: &HttpRequest,
    body: &Bytes,
    responses: &Mutex<Responses>,
    received: &Mutex<Vec<Call>>,
) -> HttpResponse {
    let route = format!("{} {}", request.method(), request.uri());
    let authorization = request.headers().get("authorization");
    let authorization = authorization.and_then(|value| value.to_str().ok());
    received.lock().expect("no handler panics").push(Call {
        route: route.clone(),
        authorization: authorization.map(str::to_owned),
        body: serde_json::from_slice(body).unwrap_or_default(),
    });
    let mut responses = responses.lock().expect("no handler panics");
    let Some(scripted) = responses.get_mut(&route) else {
        return HttpResponse::NotImplemented().finish();
    };
    let (status, body) = match scripted.len() {
        0 | 1 => scripted.front().cloned().expect("a route has a response"),
        _ => scripted.pop_front().expect("a route has a response"),
    };
    let status = StatusCode::from_u16(status).expect("the status is valid");
    HttpResponse::build(status).json(&body)
}
