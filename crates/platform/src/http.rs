//! HTTP client that bounds the time and the response size of each request.

use std::net::SocketAddr;

use ntex::{
    SharedCfg,
    client::{
        self, ClientRequest, ClientResponse,
        error::{ClientError, ConnectError},
    },
    http::{Method, StatusCode, error::PayloadError},
    io::IoConfig,
    time::Millis,
    util::Bytes,
};
use ragwortrill_core::time::Span;

use crate::error::Error;

/// A response whose body was read completely.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Body of a request with its media type.
pub(crate) struct Content {
    pub(crate) media_type: &'static str,
    pub(crate) bytes: Vec<u8>,
}

/// Connections to one service.
#[derive(Clone)]
pub(crate) struct Http {
    address: SocketAddr,
    client: client::Client,
    limit: usize,
    reuse: Reuse,
    timeout: Span,
}

/// Whether connections are kept between requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Connections are kept.
    Keep,
    /// Each request has its own connection, on which no response to another one can arrive.
    Never,
}

impl Http {
    pub(crate) async fn new(
        address: SocketAddr,
        timeout: Span,
        limit: usize,
        reuse: Reuse,
    ) -> Self {
        // The connect timeout is shorter than the timeout of the whole exchange: only a connect
        // error proves that nothing was sent, so it must be reported before the exchange times out.
        let io = IoConfig::new().set_connect_timeout(millis(timeout.scale(1, 2)));
        let client = client::Client::builder()
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(limit)
            .response_payload_timeout(Millis::ZERO)
            .build(SharedCfg::new("ragwortrill-platform").add(io))
            .await
            .expect("a client without TLS can always be built");
        Self {
            address,
            client,
            limit,
            reuse,
            timeout,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request. `hold` is the time for which the request asks the service to delay its
    /// response (long polling); it is added to the timeout.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        path: &str,
        content: Option<Content>,
        hold: Span,
    ) -> Result<Response, Error> {
        let timeout = self.timeout + hold;
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method, url);
        let request = match self.reuse {
            Reuse::Keep => request,
            Reuse::Never => request.force_close(),
        };
        let response = self.receive(request, content);
        match ntex::time::timeout(millis(timeout), response).await {
            Ok(response) => self.check_status(response?),
            Err(()) => Err(Error::TimedOut {
                peer: self.peer(),
                millis: timeout.as_millis(),
            }),
        }
    }

    async fn receive(
        &self,
        request: ClientRequest,
        content: Option<Content>,
    ) -> Result<Response, Error> {
        let response = send(request, content)
            .await
            .map_err(|e| self.send_error(e))?;
        let status = response.status();
        let body = response.body().await.map_err(|e| self.body_error(e))?;
        Ok(Response { status, body })
    }

    /// Converts the statuses that have the same meaning on every interface into errors.
    fn check_status(&self, response: Response) -> Result<Response, Error> {
        let reason = || format!("{}: {}", response.status, excerpt(&response.body));
        match response.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::Refused {
                    peer: self.peer(),
                    reason: reason(),
                })
            }
            status if status.is_server_error() => Err(Error::Lost {
                peer: self.peer(),
                reason: reason(),
            }),
            _ => Ok(response),
        }
    }

    pub(crate) fn malformed(&self, reason: impl ToString) -> Error {
        Error::Malformed {
            peer: self.peer(),
            reason: reason.to_string(),
        }
    }

    /// Returns the error for a response whose status the interface does not define.
    pub(crate) fn unexpected_status(&self, response: &Response) -> Error {
        self.malformed(format!("{}: {}", response.status, excerpt(&response.body)))
    }

    fn send_error(&self, error: ClientError) -> Error {
        let peer = self.peer();
        let reason = error.to_string();
        match error {
            // ntex reports a connection that closes before the head of the response as this connect
            // error, although the request may have been sent.
            ClientError::Connect(ConnectError::Disconnected(None)) => Error::Lost { peer, reason },
            ClientError::Connect(_) | ClientError::Url(_) => Error::Refused { peer, reason },
            ClientError::Response(_) => Error::Malformed { peer, reason },
            _ => Error::Lost { peer, reason },
        }
    }

    fn body_error(&self, error: PayloadError) -> Error {
        let peer = self.peer();
        match error {
            PayloadError::Overflow => Error::TooLarge {
                peer,
                limit: self.limit,
            },
            error => Error::Lost {
                peer,
                reason: error.to_string(),
            },
        }
    }

    fn peer(&self) -> String {
        self.address.to_string()
    }
}

async fn send(
    request: ClientRequest,
    content: Option<Content>,
) -> Result<ClientResponse, ClientError> {
    match content {
        Some(content) => {
            let request = request.content_type(content.media_type);
            request.send_body(content.bytes).await
        }
        None => request.send().await,
    }
}

fn millis(span: Span) -> Millis {
    // ntex takes a timeout of 0 as no timeout.
    Millis(u32::try_from(span.as_millis().max(1)).unwrap_or(u32::MAX))
}

/// Characters of an error body that are included in an error message.
const MAX_EXCERPT_CHARS: usize = 200;

fn excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .chars()
        .take(MAX_EXCERPT_CHARS)
        .collect()
}
