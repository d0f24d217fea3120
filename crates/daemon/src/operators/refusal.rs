//! Error responses of the operators' port.

use ntex::{
    http::{StatusCode, header::WWW_AUTHENTICATE},
    web::{HttpResponse, HttpResponseBuilder},
};
use ragwortrill_core::{
    report::{Conflict, Problem},
    request::Run,
};

/// Reason for which an operator's request is refused.
#[derive(Clone, Debug)]
pub(super) enum Refusal {
    /// The request can't be read.
    Malformed { title: String, remedy: String },
    /// The token is missing or wrong.
    Unauthorized(&'static str),
    /// The request names something that does not exist.
    NotFound { title: String, remedy: String },
    /// The table has a later version than the change's base.
    Conflict(Box<Conflict>),
    /// The change is not allowed.
    Invalid { title: String, remedy: String },
    /// The body exceeds its limit.
    TooLarge(usize),
    /// The log service or the node does not answer.
    Unavailable { title: String, run: Option<Run> },
}

impl Refusal {
    pub(super) fn malformed(title: impl Into<String>, remedy: impl Into<String>) -> Self {
        let (title, remedy) = (title.into(), remedy.into());
        Self::Malformed { title, remedy }
    }

    pub(super) fn unavailable(title: impl Into<String>, run: Run) -> Self {
        let title = title.into();
        let run = Some(run);
        Self::Unavailable { title, run }
    }

    /// Describes a node whose inbox is full or that is shutting down.
    pub(super) fn overloaded() -> Self {
        Self::Unavailable {
            title: "the daemon is overloaded or is stopping".to_owned(),
            run: None,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::Conflict(_) => StatusCode::CONFLICT,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn problem(&self) -> Problem {
        let not_run = Some(Run::NotRun);
        let (kind, title, remedy, run) = match self.clone() {
            Self::Malformed { title, remedy } => ("malformed", title, remedy, not_run),
            Self::Unauthorized(title) => {
                let remedy = "send the header Authorization: Bearer TOKEN".to_owned();
                ("unauthorized", title.to_owned(), remedy, not_run)
            }
            Self::NotFound { title, remedy } => ("not-found", title, remedy, None),
            Self::Conflict(conflict) => {
                let title = format!("the table is at version {}", conflict.version);
                let remedy = "edit the current table and apply it".to_owned();
                ("conflict", title, remedy, not_run)
            }
            Self::Invalid { title, remedy } => ("invalid-change", title, remedy, not_run),
            Self::TooLarge(limit) => {
                let title = format!("the body has more than {limit} bytes");
                (
                    "too-large",
                    title,
                    "send a smaller body".to_owned(),
                    not_run,
                )
            }
            Self::Unavailable { title, run } => {
                let remedy = match run {
                    Some(Run::Unknown) => "repeat the change with the same id",
                    _ => "retry later, or ask another daemon",
                };
                ("unavailable", title, remedy.to_owned(), run)
            }
        };
        Problem {
            r#type: format!("urn:ragwortrill:problem:{kind}"),
            title,
            remedy,
            run,
        }
    }

    pub(super) fn response(&self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status());
        if let Self::Conflict(conflict) = self {
            return response.json(conflict);
        }
        if let Self::Unauthorized(_) = self {
            response.header(WWW_AUTHENTICATE, "Bearer");
        }
        response.content_type("application/problem+json");
        response.body(serde_json::to_vec(&self.problem()).unwrap_or_default())
    }
}
