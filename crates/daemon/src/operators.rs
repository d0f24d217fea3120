//! Health, readiness, metrics and status for operators.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use ntex::web::{self, HttpResponse};

use crate::shell::Shell;

/// Whether the load balancer should send requests here.
pub(crate) type Ready = Arc<AtomicBool>;

/// Registers the operators' paths.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(readiness))
        .route("/metrics", web::get().to(metrics));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readiness(
    shell: web::types::State<Shell>,
    ready: web::types::State<Ready>,
) -> HttpResponse {
    let has_table = shell
        .inspect(|node| node.ledger().version().0 > 0)
        .await
        .unwrap_or(false);
    match has_table && ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics(shell: web::types::State<Shell>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shell.metrics.page())
}
