//! The platform's list of entry hosts: `GET /v1/hosts`. The list may lag behind the actual hosts.

use std::{fmt, net::SocketAddr};

use ntex::http::{Method, StatusCode};
use ragwortrill_core::{name, time::Span};
use serde::{Deserialize, Serialize};

use crate::http::{Http, Reuse};

pub use crate::error::Error;

/// Path of the host list.
pub const PATH: &str = "/v1/hosts";

/// Largest accepted list, in bytes. 16,000 hosts of 150 bytes each fill 2.4 MB.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// An entry host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: name::Host,
    /// Address on which its daemon accepts links.
    pub address: SocketAddr,
    /// Data centre in which the host is.
    pub data_centre: name::DataCentre,
    /// Whether the platform is about to remove the host.
    pub state: State,
}

/// Whether the platform is about to remove a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The platform is about to remove the host.
    Leaving,
    /// The host stays in use.
    Live,
}

/// Client of the host list.
#[derive(Clone)]
pub struct Client(Http);

impl Client {
    /// Creates a client. It must be used on the ntex thread that created it.
    pub async fn new(address: SocketAddr, timeout: Span) -> Self {
        Self(Http::new(address, timeout, MAX_RESPONSE_BYTES, Reuse::Keep).await)
    }

    /// Fetches the host list.
    pub async fn list(&self) -> Result<Vec<Host>, Error> {
        let response = self.0.exchange(Method::GET, PATH, None, Span::ZERO).await?;
        if response.status != StatusCode::OK {
            return Err(self.0.unexpected_status(&response));
        }
        serde_json::from_slice(&response.body).map_err(|error| self.0.malformed(error))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Client").field(&self.0.address()).finish()
    }
}
