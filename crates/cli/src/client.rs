//! Client of the operators' HTTP interface.

use std::net::SocketAddr;

use ntex::{
    SharedCfg,
    client::{
        Client as Http, ClientRequest, ClientResponse,
        error::{ClientError, ConnectError},
    },
    http::{Method, StatusCode},
    rt::{DefaultRuntime, System},
    time::Millis,
};
use ragwortrill_core::report::{Change, Problem};
use serde::de::DeserializeOwned;

use crate::api;

/// Longest time that one attempt waits for an answer, in milliseconds.
const ATTEMPT_MS: u32 = 5_000;

/// Why a request got no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Broken {
    #[error("can't connect to {daemon}: {cause}; check --daemon, or name another daemon")]
    Unsent { daemon: SocketAddr, cause: String },
    #[error("{daemon} gave no answer: {cause}; retry, or name another daemon")]
    Unanswered { daemon: SocketAddr, cause: String },
    #[error("{daemon} gave an answer that can't be read: {cause}; use the program of its release")]
    Unreadable { daemon: SocketAddr, cause: String },
    #[error("{0}")]
    Status(Refusal),
}

/// An answer with a status other than 200.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{title}; {remedy}", title = problem.title, remedy = problem.remedy)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) problem: Problem,
    pub(crate) body: Vec<u8>,
}

/// Client of one daemon. Each request uses a connection of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    pub(crate) daemon: SocketAddr,
}

impl Client {
    /// Reads a resource.
    pub(crate) fn get<T: DeserializeOwned>(
        self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, Broken> {
        let url = format!("http://{}{path}", self.daemon);
        let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        let query: Vec<(String, String)> = query.iter().map(owned).collect();
        self.call(async move |http| {
            let request = http.request(Method::GET, url);
            let request = match query.is_empty() {
                true => request,
                false => request.query(&query).map_err(|error| self.unsent(error))?,
            };
            self.read(limit(request).send().await).await
        })
    }

    /// Submits a change once.
    pub(crate) fn post<T: DeserializeOwned>(
        self,
        token: &str,
        change: &Change,
    ) -> Result<T, Broken> {
        let url = format!("http://{}{}", self.daemon, api::CHANGES);
        let (token, change) = (token.to_owned(), change.clone());
        self.call(async move |http| {
            let request = limit(http.request(Method::POST, url)).bearer_auth(token);
            self.read(request.send_json(&change).await).await
        })
    }

    /// Runs one exchange to its end and decodes the answer.
    fn call<T: DeserializeOwned>(
        self,
        work: impl AsyncFnOnce(Http) -> Result<Vec<u8>, Broken> + 'static,
    ) -> Result<T, Broken> {
        let body = System::new("ragwortrill", DefaultRuntime).block_on(async move {
            let builder = Http::builder().disable_redirects();
            let http = builder.build(SharedCfg::default()).await;
            work(http.map_err(|error| self.unsent(error))?).await
        })?;
        self.decode(&body)
    }

    async fn read(self, sent: Result<ClientResponse, ClientError>) -> Result<Vec<u8>, Broken> {
        let response = sent.map_err(|error| self.classify(&error))?;
        let body = response.body().limit(api::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| self.unanswered(error))?.to_vec();
        match response.status() {
            StatusCode::OK => Ok(body),
            status => Err(Broken::Status(Refusal {
                status,
                problem: serde_json::from_slice(&body).unwrap_or_else(|_| bare(status)),
                body,
            })),
        }
    }

    /// Decodes the body of an answer.
    pub(crate) fn decode<T: DeserializeOwned>(self, body: &[u8]) -> Result<T, Broken> {
        serde_json::from_slice(body).map_err(|error| Broken::Unreadable {
            daemon: self.daemon,
            cause: error.to_string(),
        })
    }

    fn unsent(self, cause: impl ToString) -> Broken {
        Broken::Unsent {
            daemon: self.daemon,
            cause: cause.to_string(),
        }
    }

    /// ntex reports a connection that closes after the request was sent as
    /// `Connect(Disconnected(None))`; only the other connect errors prove that nothing was sent.
    fn classify(self, error: &ClientError) -> Broken {
        let cause = match error {
            ClientError::Connect(ConnectError::Disconnected(Some(cause))) => cause.to_string(),
            ClientError::Connect(ConnectError::Timeout) => "it takes too long".to_owned(),
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                return self.unanswered("the connection closed");
            }
            error => return self.unanswered(error),
        };
        self.unsent(cause)
    }

    fn unanswered(self, cause: impl ToString) -> Broken {
        Broken::Unanswered {
            daemon: self.daemon,
            cause: cause.to_string(),
        }
    }
}

fn limit(request: ClientRequest) -> ClientRequest {
    request.force_close().timeout(Millis(ATTEMPT_MS))
}

fn bare(status: StatusCode) -> Problem {
    Problem {
        r#type: "about:blank".to_owned(),
        title: format!("the daemon answered with status {status}"),
        remedy: "check the daemon's log".to_owned(),
        run: None,
    }
}
