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

use crate::shell::Shell;

use self::refusal::Refusal;

/// Whether the load balancer should send requests here.
pub(crate) type Ready = Arc<AtomicBool>;

/// Time allowed for an append of a change.
const APPEND: Span = Span::from_secs(1);

/// What the operators' server needs.
#[derive(Clone)]
pub(crate) struct Site {
    pub(crate) shell: Shell,
    pub(crate) ready: Ready,
    pub(crate) token: Arc<str>,
    pub(crate) log: SocketAddr,
}

/// What a worker of the operators' server needs.
pub(crate) struct Desk {
    site: Site,
    log: Client,
}

impl Desk {
    /// Must be called on the thread of the worker.
    pub(crate) async fn new(site: Site) -> Self {
        let log = Client::new(site.log, APPEND).await;
        Self { site, log }
    }
}

type State = web::types::State<std::rc::Rc<Desk>>;

/// Registers the operators' paths.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(readiness))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(read::status))
        .route("/v1/table", web::get().to(read::table))
        .route("/v1/table/history", web::get().to(read::history))
        .route("/v1/table/history/{version}", web::get().to(read::edition))
        .route("/v1/owners", web::get().to(read::owners))
        .route("/v1/audit", web::get().to(read::audit))
        .route("/v1/explain", web::get().to(read::explain))
        .route("/v1/requests/{id}", web::get().to(read::request))
        .route("/v1/changes", web::post().to(change::submit));
}

/// Answers all other paths.
pub(crate) async fn unknown(request: web::HttpRequest) -> HttpResponse {
    let what = format!("{} {} is not served", request.method(), request.path());
    Refusal::Missing {
        title: what,
        remedy: "use a path of the manual's section on the operators' port".to_owned(),
    }
    .response()
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readiness(desk: State) -> HttpResponse {
    let site = &desk.site;
    let now = site.shell.clock.now();
    let can_serve = site.shell.inspect(move |node| node.is_ready(now)).await;
    match can_serve.unwrap_or(false) && site.ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics(desk: State) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(desk.site.shell.metrics.page())
}
