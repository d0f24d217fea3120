//! HTTP exchange with bounded time and answer size.

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

/// An answer whose body was read whole.
pub(crate) struct Answer {
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
    timeout: Span,
}

impl Http {
    pub(crate) async fn new(address: SocketAddr, timeout: Span, limit: usize) -> Self {
        // A connection that can't be opened fails before the whole exchange times out, because
        // only then is it certain that nothing was sent.
        let io = IoConfig::new().set_connect_timeout(millis(timeout.scale(1, 2)));
        let client = client::Client::builder()
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(limit)
            .response_payload_timeout(Millis::ZERO)
            .build(SharedCfg::new("ragwortrill-platform").add(io))
            .await
            .expect("a connector without TLS needs nothing that can fail");
        Self {
            address,
            client,
            limit,
            timeout,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request. `extra` is time that the service may hold the request on purpose.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        path: &str,
        content: Option<Content>,
        extra: Span,
    ) -> Result<Answer, Error> {
        let allowed = self.timeout + extra;
        let url = format!("http://{}{path}", self.address);
        let answer = self.receive(self.client.request(method, url), content);
        match ntex::time::timeout(millis(allowed), answer).await {
            Ok(answer) => self.check(answer?),
            Err(()) => Err(Error::TimedOut {
                peer: self.peer(),
                millis: allowed.as_millis(),
            }),
        }
    }

    async fn receive(
        &self,
        request: ClientRequest,
        content: Option<Content>,
    ) -> Result<Answer, Error> {
        let response = send(request, content).await.map_err(|e| self.failed(e))?;
        let status = response.status();
        let body = response.body().await.map_err(|e| self.unread(e))?;
        Ok(Answer { status, body })
    }

    /// Turns the statuses that mean the same on every interface into errors.
    fn check(&self, answer: Answer) -> Result<Answer, Error> {
        let reason = || format!("{}: {}", answer.status, text(&answer.body));
        match answer.status {
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
            _ => Ok(answer),
        }
    }

    pub(crate) fn malformed(&self, reason: impl ToString) -> Error {
        Error::Malformed {
            peer: self.peer(),
            reason: reason.to_string(),
        }
    }

    /// Describes an answer with a status that the interface does not define.
    pub(crate) fn unexpected(&self, answer: &Answer) -> Error {
        self.malformed(format!("{}: {}", answer.status, text(&answer.body)))
    }

    fn failed(&self, error: ClientError) -> Error {
        let peer = self.peer();
        let reason = error.to_string();
        match error {
            // ntex reports a connection that closes before the answer's head as this connect error.
            ClientError::Connect(ConnectError::Disconnected(None)) => Error::Lost { peer, reason },
            ClientError::Connect(_) | ClientError::Url(_) => Error::Refused { peer, reason },
            ClientError::Response(_) => Error::Malformed { peer, reason },
            _ => Error::Lost { peer, reason },
        }
    }

    fn unread(&self, error: PayloadError) -> Error {
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
    // A zero timeout would mean none at all to ntex.
    Millis(u32::try_from(span.as_millis().max(1)).unwrap_or(u32::MAX))
}

/// Longest part of an error body that is shown, in characters.
const SHOWN_CHARS: usize = 200;

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .chars()
        .take(SHOWN_CHARS)
        .collect()
}
