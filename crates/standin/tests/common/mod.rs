//! Runtime and HTTP caller that the tests share.
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

/// Long enough for any answer that comes at all.
pub const PATIENT: Span = Span::from_secs(30);
/// Longer than any test.
pub const AGES: Span = Span::from_secs(3_600);

/// Runs a test on an ntex thread.
pub fn run(test: impl Future<Output = ()> + 'static) {
    rt::System::new("test", rt::DefaultRuntime).block_on(test);
}

/// A caller of one server.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    client: Client,
}

/// An answer whose body was read as far as it came.
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

    /// Sends a request and returns when the head of the answer is there.
    pub async fn open(
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

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, ClientError> {
        let response = self.open(method, path, headers, body).await?;
        Ok(Answer {
            status: response.status().as_u16(),
            body: response.body().await,
            response,
        })
    }
}

impl Answer {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.response.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// Returns the body. Panics if it broke.
    pub fn whole(&self) -> &[u8] {
        self.body.as_ref().unwrap()
    }
}
