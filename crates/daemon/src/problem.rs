//! Problem documents of RFC 9457 for requests that their target does not answer.

use ntex::{
    http::StatusCode,
    web::{HttpResponse, HttpResponseBuilder},
};
use ragwortrill_core::{
    request::{self, Refusal, Run},
    time::Span,
};
use ragwortrill_platform::headers;
use serde::Serialize;

/// Prefix of the types of problems, which are stable.
const TYPE: &str = "urn:ragwortrill:problem:";

/// A problem document.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: String,
    run: Run,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<request::Id>,
    #[serde(skip)]
    retry_after: Option<Span>,
}

impl Problem {
    /// Describes a refusal by the node.
    pub(crate) fn refused(
        refusal: Refusal,
        retry_after: Option<Span>,
        request: request::Id,
    ) -> Self {
        Self {
            kind: format!("{TYPE}{}", kind(refusal)),
            title: "The request was not answered by its target",
            status: status(refusal).as_u16(),
            detail: refusal.to_string(),
            run: refusal.run(),
            request: Some(request),
            retry_after,
        }
    }

    /// Describes a request that is malformed.
    pub(crate) fn malformed(kind: &'static str, status: StatusCode, detail: String) -> Self {
        Self {
            kind: format!("{TYPE}{kind}"),
            title: "The request is malformed",
            status: status.as_u16(),
            detail,
            run: Run::NotRun,
            request: None,
            retry_after: None,
        }
    }

    /// Describes a request on a connection that an earlier reply has closed.
    pub(crate) fn connection_closed() -> Self {
        Self {
            kind: format!("{TYPE}connection-closed"),
            title: "The connection is closed",
            status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            detail: "the daemon shuts down and an earlier reply closed the connection; send the \
                     request on another one"
                .to_owned(),
            run: Run::NotRun,
            request: None,
            retry_after: None,
        }
    }

    /// Describes a repeated request that ran, but whose response is not in the cache.
    pub(crate) fn response_not_cached(request: request::Id, status: u16) -> Self {
        Self {
            kind: format!("{TYPE}answer-not-kept"),
            title: "The request ran, and its answer was not kept",
            status: StatusCode::CONFLICT.as_u16(),
            detail: format!(
                "the first answer had status {status}; look the result up at its target"
            ),
            run: Run::Ran,
            request: Some(request),
            retry_after: None,
        }
    }

    /// Describes a request whose deadline passed before its response came.
    pub(crate) fn late(request: request::Id) -> Self {
        Self {
            kind: format!("{TYPE}late-answer"),
            title: "The deadline passed before the answer came",
            status: StatusCode::GATEWAY_TIMEOUT.as_u16(),
            detail: "the request may have run; repeat it with the same Idempotency-Key".to_owned(),
            run: Run::Unknown,
            request: Some(request),
            retry_after: None,
        }
    }

    /// Describes a request that may still run when a graceful shutdown ends, and was not sent.
    pub(crate) fn shutting_down(request: request::Id) -> Self {
        Self {
            kind: format!("{TYPE}shutting-down"),
            title: "The daemon shuts down",
            status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            detail: "the shutdown may end before the request; send it on another connection"
                .to_owned(),
            run: Run::NotRun,
            request: Some(request),
            retry_after: None,
        }
    }

    /// Describes a request whose response had not come at the end of a graceful shutdown.
    pub(crate) fn unanswered(request: request::Id) -> Self {
        Self {
            kind: format!("{TYPE}shutdown-ended"),
            title: "The daemon shut down before the answer came",
            status: StatusCode::GATEWAY_TIMEOUT.as_u16(),
            detail: "the request may have run; repeat it with the same Idempotency-Key".to_owned(),
            run: Run::Unknown,
            request: Some(request),
            retry_after: None,
        }
    }

    /// Returns the last part of the type.
    pub(crate) fn reason(&self) -> String {
        self.kind.trim_start_matches(TYPE).to_owned()
    }

    /// Creates the HTTP response.
    pub(crate) fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponseBuilder::new(status);
        response.content_type("application/problem+json");
        if let Some(request) = self.request {
            response.header(headers::REQUEST, request.to_string());
        }
        if let Some(span) = self.retry_after {
            response.header(
                headers::RETRY_AFTER,
                span.0.div_ceil(1_000_000).max(1).to_string(),
            );
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        response.body(body)
    }
}

/// Returns the last part of a refusal's type, which is stable.
pub(crate) fn kind(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Quarantined => "barred",
        Refusal::Broken => "broken",
        Refusal::Duplicate => "outcome-unknown",
        Refusal::Full => "queue-full",
        Refusal::Late => "deadline",
        Refusal::LogDown => "log-down",
        Refusal::Moving => "moving",
        Refusal::NoHolder => "no-holder",
        Refusal::NotMine => "not-mine",
        Refusal::NoTarget => "no-target",
        Refusal::Running => "running",
        Refusal::UnknownService => "unknown-service",
        Refusal::Unreachable => "unreachable",
    }
}

fn status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        Refusal::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::Duplicate | Refusal::Running => StatusCode::CONFLICT,
        Refusal::Broken => StatusCode::BAD_GATEWAY,
        Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
