//! Stand-in of a daemon's operators' interface, with scripted answers.

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

/// Answers by route, such as `GET /v1/table`. The last answer of a route is repeated.
pub(crate) type Answers = BTreeMap<String, VecDeque<(u16, Value)>>;

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
    pub(crate) async fn start(answers: Answers) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (answers, log) = (Arc::new(Mutex::new(answers)), calls.clone());
        let server = web::test::server(async move || {
            let (answers, log) = (answers.clone(), log.clone());
            App::new().default_service(web::to(move |request: HttpRequest, body: Bytes| {
                let response = answer(&request, &body, &answers, &log);
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

fn answer(
    request: &HttpRequest,
    body: &Bytes,
    answers: &Mutex<Answers>,
    log: &Mutex<Vec<Call>>,
) -> HttpResponse {
    let route = format!("{} {}", request.method(), request.uri());
    let authorization = request.headers().get("authorization");
    let authorization = authorization.and_then(|value| value.to_str().ok());
    log.lock().expect("no handler panics").push(Call {
        route: route.clone(),
        authorization: authorization.map(str::to_owned),
        body: serde_json::from_slice(body).unwrap_or_default(),
    });
    let mut answers = answers.lock().expect("no handler panics");
    let Some(script) = answers.get_mut(&route) else {
        return HttpResponse::NotImplemented().finish();
    };
    let (status, body) = match script.len() {
        0 | 1 => script.front().cloned().expect("a route has an answer"),
        _ => script.pop_front().expect("a route has an answer"),
    };
    let status = StatusCode::from_u16(status).expect("the status is valid");
    HttpResponse::build(status).json(&body)
}
