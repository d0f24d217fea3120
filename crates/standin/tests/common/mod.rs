//! Runtime and HTTP caller shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;

use ntex::{
    SharedCfg,
    client::{Client, ClientResponse, Connector, error::ClientError},
    http::{Method, error::PayloadError},
    rt,
    time::Millis,
    util::Bytes,
};
use ragwortrill_core::time::Span;

/// Timeout for answers that must arrive.
pub const LONG_TIMEOUT: Span = Span::from_secs(30);
/// Duration that no test reaches.
pub const ONE_HOUR: Span = Span::from_secs(3_600);

/// Runs a test on an ntex thread.
pub fn run(test: impl Future<Output = ()> + 'static) {
    rt::System::new("test", rt::DefaultRuntime).block_on(test);
}

/// HTTP caller of one server.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    client: Client,
}

/// An answer with its body or the error that broke it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub response: ClientResponse,
    pub body: Result<Bytes, PayloadError>,
}

impl Caller {
    pub async fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .connector::<()>(Connector::new().limit(100))
            .disable_timeout()
            .response_payload_limit(0)
            .response_payload_timeout(Millis::ZERO)
            .build(SharedCfg::new("test"))
            .await
            .unwrap();
        Self { address, client }
    }

    /// Sends a request and returns once the head of the answer has arrived.
    pub async fn send_until_head(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<ClientResponse, ClientError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(Method::try_from(method).unwrap(), url);
        for (name, value) in headers {
            request = request.set_header(*name, *value);
        }
        request.send_body(body.to_vec()).await
    }

    /// Sends a request and reads the answer to its end.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, ClientError> {
        let response = self.send_until_head(method, path, headers, body).await?;
        Ok(Answer {
            status: response.status().as_u16(),
            body: response.body().await,
            response,
        })
    }
}

impl Answer {
    /// Returns a header, or an empty text if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.response.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// Returns the body. Panics if it is incomplete.
    pub fn complete_body(&self) -> &[u8] {
        self.body.as_ref().unwrap()
    }
}
