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

/// Time-out of one request.
const ATTEMPT_TIMEOUT_MS: u32 = 5_000;

/// Reason why a request got no usable response.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error("can't connect to {daemon}: {cause}; check --daemon, or name another daemon")]
    NotSent { daemon: SocketAddr, cause: String },
    #[error("no complete response from {daemon}: {cause}; retry, or name another daemon")]
    NoResponse { daemon: SocketAddr, cause: String },
    #[error(
        "{daemon} sent a response that can't be decoded: {cause}; use the ragwortrill program of the daemon's release"
    )]
    InvalidResponse { daemon: SocketAddr, cause: String },
    #[error("{0}")]
    Status(Refusal),
}

/// A response with a status other than 200.
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
    /// Requests a resource.
    pub(crate) fn get<T: DeserializeOwned>(
        self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, Failure> {
        let url = format!("http://{}{path}", self.daemon);
        let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        let query: Vec<(String, String)> = query.iter().map(owned).collect();
        self.exchange(async move |http| {
            let request = http.request(Method::GET, url);
            let request = match query.is_empty() {
                true => request,
                false => request
                    .query(&query)
                    .map_err(|error| self.not_sent(error))?,
            };
            self.read_body(single_use(request).send().await).await
        })
    }

    /// Submits a change, without retries.
    pub(crate) fn post<T: DeserializeOwned>(
        self,
        token: &str,
        change: &Change,
    ) -> Result<T, Failure> {
        let url = format!("http://{}{}", self.daemon, api::CHANGES);
        let (token, change) = (token.to_owned(), change.clone());
        self.exchange(async move |http| {
            let request = single_use(http.request(Method::POST, url)).bearer_auth(token);
            self.read_body(request.send_json(&change).await).await
        })
    }

    /// Runs one request to completion and decodes the response.
    fn exchange<T: DeserializeOwned>(
        self,
        work: impl AsyncFnOnce(Http) -> Result<Vec<u8>, Failure> + 'static,
    ) -> Result<T, Failure> {
        let body = System::new("ragwortrill", DefaultRuntime).block_on(async move {
            let builder = Http::builder().disable_redirects();
            let http = builder.build(SharedCfg::default()).await;
            work(http.map_err(|error| self.not_sent(error))?).await
        })?;
        self.decode(&body)
    }

    async fn read_body(
        self,
        result: Result<ClientResponse, ClientError>,
    ) -> Result<Vec<u8>, Failure> {
        let response = result.map_err(|error| self.classify(&error))?;
        let body = response.body().limit(api::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| self.no_response(error))?.to_vec();
        match response.status() {
            StatusCode::OK => Ok(body),
            status => Err(Failure::Status(Refusal {
                status,
                problem: serde_json::from_slice(&body).unwrap_or_else(|_| default_problem(status)),
                body,
            })),
        }
    }

    /// Decodes the body of a response.
    pub(crate) fn decode<T: DeserializeOwned>(self, body: &[u8]) -> Result<T, Failure> {
        serde_json::from_slice(body).map_err(|error| Failure::InvalidResponse {
            daemon: self.daemon,
            cause: error.to_string(),
        })
    }

    fn not_sent(self, cause: impl ToString) -> Failure {
        Failure::NotSent {
            daemon: self.daemon,
            cause: cause.to_string(),
        }
    }

    /// Tells failures before the request was sent from failures after which it may have run.
    ///
    /// ntex reports a connection that closes after the request was sent as
    /// `Connect(Disconnected(None))`. Only the other connect errors prove that nothing was sent.
    fn classify(self, error: &ClientError) -> Failure {
        let cause = match error {
            ClientError::Connect(ConnectError::Disconnected(Some(cause))) => cause.to_string(),
            ClientError::Connect(ConnectError::Timeout) => "the connection timed out".to_owned(),
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                return self.no_response("the connection closed");
            }
            error => return self.no_response(error),
        };
        self.not_sent(cause)
    }

    fn no_response(self, cause: impl ToString) -> Failure {
        Failure::NoResponse {
            daemon: self.daemon,
            cause: cause.to_string(),
        }
    }
}

fn single_use(request: ClientRequest) -> ClientRequest {
    request.force_close().timeout(Millis(ATTEMPT_TIMEOUT_MS))
}

fn default_problem(status: StatusCode) -> Problem {
    Problem {
        r#type: "about:blank".to_owned(),
        title: format!("the daemon answered with status {status}"),
        remedy: "check the daemon's log".to_owned(),
        run: None,
    }
}
