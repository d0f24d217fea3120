use std::{fmt, net::SocketAddr};

use ntex::http::{Method, StatusCode};
use ragwortrill_core::{request, time::Span};

use super::{
    CANCEL_PATH, Cancellation, Error, GRANT_PATH, Grant, HEALTH_PATH, LOAD_PATH, Load,
    MAX_RESPONSE_BYTES, StaleEpoch,
};
use crate::http::{Content, Http, Response, Reuse};

/// Client of a target's control interface. Each call has its own connection, so that a late copy of
/// the response to an earlier call can't be taken for its response.
#[derive(Clone)]
pub struct Client(Http);

impl Client {
    /// Creates a client. It must be used on the ntex thread that created it.
    pub async fn new(address: SocketAddr, timeout: Span) -> Self {
        Self(Http::new(address, timeout, MAX_RESPONSE_BYTES, Reuse::Never).await)
    }

    /// Grants the target the right to serve for a time.
    pub async fn grant(&self, grant: Grant) -> Result<(), Error> {
        let content = Content {
            media_type: "application/json",
            bytes: serde_json::to_vec(&grant)
                .expect("a grant consists of numbers and can always be encoded"),
        };
        let response = self.send(Method::PUT, GRANT_PATH, Some(content)).await?;
        match response.status {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let stale: StaleEpoch = self.parse(&response)?;
                Err(Error::StaleEpoch {
                    granted: grant.epoch,
                    highest: stale.highest,
                })
            }
            StatusCode::PRECONDITION_FAILED => Err(Error::EarlierRun),
            _ => Err(self.0.unexpected_status(&response).into()),
        }
    }

    /// Checks the health of the target. A target that can't serve answers 503, which is returned as
    /// [`Refused`](crate::error::Error::Refused).
    pub async fn health(&self) -> Result<(), Error> {
        let response = self.send(Method::GET, HEALTH_PATH, None).await?;
        match response.status.is_success() {
            true => Ok(()),
            false => Err(self.0.unexpected_status(&response).into()),
        }
    }

    /// Fetches the load report.
    pub async fn load(&self) -> Result<Load, Error> {
        let response = self.send(Method::GET, LOAD_PATH, None).await?;
        match response.status {
            StatusCode::OK => self.parse(&response),
            _ => Err(self.0.unexpected_status(&response).into()),
        }
    }

    /// Cancels a request.
    pub async fn cancel(&self, request: request::Id) -> Result<Cancellation, Error> {
        let path = format!("{CANCEL_PATH}{request}");
        let response = self.send(Method::POST, &path, None).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(Cancellation::Unknown),
            status if status.is_success() => Ok(Cancellation::Found),
            _ => Err(self.0.unexpected_status(&response).into()),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        content: Option<Content>,
    ) -> Result<Response, Error> {
        Ok(self.0.exchange(method, path, content, Span::ZERO).await?)
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, response: &Response) -> Result<T, Error> {
        serde_json::from_slice(&response.body).map_err(|error| self.0.malformed(error).into())
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Client").field(&self.0.address()).finish()
    }
}
