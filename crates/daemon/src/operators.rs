//! Health, readiness, metrics, status and changes for operators.

mod access;
mod change;
mod read;
mod refusal;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use ntex::web::{self, HttpResponse};
use ragwortrill_core::time::Span;
use ragwortrill_platform::log::Client;

use crate::shared::Shared;

use self::refusal::Refusal;

/// False once the load balancer should send no more requests to this daemon.
pub(crate) type Ready = Arc<AtomicBool>;

/// Time limit for the append of a change.
const APPEND_TIMEOUT: Span = Span::from_secs(1);

/// State that all workers of the operators' server share.
#[derive(Clone)]
pub(crate) struct ServerState {
    pub(crate) shared: Shared,
    pub(crate) ready: Ready,
    pub(crate) token: Arc<str>,
    pub(crate) log: SocketAddr,
}

/// State of one worker of the operators' server.
pub(crate) struct WorkerState {
    server: ServerState,
    log: Client,
}

impl WorkerState {
    /// Must be called on the worker's thread, to which the log client belongs.
    pub(crate) async fn new(server: ServerState) -> Self {
        let log = Client::new(server.log, APPEND_TIMEOUT).await;
        Self { server, log }
    }
}

type State = web::types::State<std::rc::Rc<WorkerState>>;

/// Registers the operators' paths.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(readiness))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(read::status))
        .route("/v1/table", web::get().to(read::table))
        .route("/v1/table/history", web::get().to(read::history))
        .route(
            "/v1/table/history/{version}",
            web::get().to(read::table_version),
        )
        .route("/v1/owners", web::get().to(read::owners))
        .route("/v1/audit", web::get().to(read::audit))
        .route("/v1/explain", web::get().to(read::explain))
        .route("/v1/requests/{id}", web::get().to(read::request))
        .route("/v1/changes", web::post().to(change::submit));
}

/// Answers requests for all other paths.
pub(crate) async fn not_found(request: web::HttpRequest) -> HttpResponse {
    let what = format!("{} {} is not served", request.method(), request.path());
    Refusal::NotFound {
        title: what,
        remedy: "use a path of the manual's section on the operators' port".to_owned(),
    }
    .response()
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readiness(worker: State) -> HttpResponse {
    let server = &worker.server;
    let now = server.shared.clock.now();
    let node_ready = server.shared.inspect(move |node| node.is_ready(now)).await;
    match node_ready.unwrap_or(false) && server.ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics(worker: State) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(worker.server.shared.metrics.page())
}
