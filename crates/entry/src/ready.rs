//! Handlers for requests from the platform's load balancer and from other hosts.

use bytes::Bytes;

use crate::{
    probe, reach, recovery, relay,
    reply::{Problem, Reply},
    service::Request,
    shared::Shared,
    trial,
};

/// Path of the metrics, on the port for other hosts.
const METRICS: &str = "/metrics";

/// Handles a readiness check from the load balancer.
pub(crate) async fn handle(shared: &Shared, request: &Request<'_>) -> Reply {
    let problem = match request.path == shared.protocol.readiness_path {
        true if shared.is_ready() => Problem::new(200, "ready"),
        true => Problem::new(503, "not ready"),
        false => Problem::new(404, "no such path"),
    };
    Reply::problem(problem, None)
}

/// Handles a request for metrics or a report from another host.
pub(crate) async fn handle_host(shared: &Shared, request: &Request<'_>) -> Reply {
    if request.path == METRICS {
        return Reply::content(
            "text/plain; version=0.0.4",
            shared.metrics.page(shared).into(),
        );
    }
    if request.path == recovery::PATH {
        return match recovery::encode_memory(shared) {
            Ok(ranges) => Reply::content("application/cbor", Bytes::from(ranges)),
            Err(error) => {
                log::error!(error = format!("{error:#}"); "key ranges can't be encoded for another host");
                Reply::problem(Problem::new(503, "the ranges can't be encoded"), None)
            }
        };
    }
    if request.path == reach::PATH {
        return match probe::handle_question(shared, &request.body).await {
            Ok(view) => Reply::content("application/cbor", Bytes::from(view)),
            Err(_) => Reply::problem(Problem::new(400, "the question can't be read"), None),
        };
    }
    if request.path == trial::PATH {
        return match trial::handle_question(shared, &request.body) {
            Ok(permission) => Reply::content("application/cbor", Bytes::from(permission)),
            Err(_) => Reply::problem(Problem::new(400, "the trial can't be decided here"), None),
        };
    }
    if request.path != relay::PATH {
        return Reply::problem(Problem::new(404, "no such path"), None);
    }
    let answer = tokio::select! {
        // What a report says is taken also if its host has given up already.
        biased;
        answer = relay::handle_report(shared, &request.body) => answer,
        () = request.abandoned() => {
            return Reply::problem(Problem::new(408, "the host has not waited for the answer"), None);
        }
    };
    match answer {
        Ok(update) => Reply::content("application/cbor", Bytes::from(update)),
        Err(error) => {
            log::warn!(error = format!("{error:#}"); "report from another host can't be decoded; replying with status 400");
            Reply::problem(Problem::new(400, "the report can't be read"), None)
        }
    }
}
