//! Answers to the platform's load balancer and to other hosts.

use bytes::Bytes;

use crate::{
    relay,
    reply::{Problem, Reply},
    service::Question,
    shared::Shared,
};

/// Path of the metrics, on the port for the other hosts.
const METRICS: &str = "/metrics";

/// Answers the load balancer.
pub(crate) async fn answer(shared: &Shared, question: &Question) -> Reply {
    let problem = match question.path == shared.protocol.readiness_path {
        true if shared.is_ready() => Problem::new(200, "ready"),
        true => Problem::new(503, "not ready"),
        false => Problem::new(404, "no such path"),
    };
    Reply::problem(problem, None)
}

/// Answers another host.
pub(crate) async fn answer_host(shared: &Shared, question: &Question) -> Reply {
    if question.path == METRICS {
        return Reply::content(
            "text/plain; version=0.0.4",
            shared.metrics.page(shared).into(),
        );
    }
    if question.path != relay::PATH {
        return Reply::problem(Problem::new(404, "no such path"), None);
    }
    match relay::answer(shared, &question.body).await {
        Ok(news) => Reply::content("application/cbor", Bytes::from(news)),
        Err(error) => {
            log::warn!(error = format!("{error:#}"); "a host's report is refused");
            Reply::problem(Problem::new(400, "the report can't be read"), None)
        }
    }
}
