use std::{fmt, net::SocketAddr};

use ntex::http::{Method, StatusCode};
use ragwortrill_core::{number::Offset, time::Span};

use super::{
    Batch, Bounds, Condition, Error, MAX_BATCH_BYTES, MAX_RESPONSE_BYTES, MEDIA_TYPE, PATH, Page,
    Query, Receipt,
};
use crate::http::{Content, Http, Response, Reuse};

/// Client of the log service. Each request has its own connection, so that a late copy of the response
/// to an earlier one can't be taken for its response: a copy of a read would count as a proof that the
/// log has nothing newer, one of an append as the receipt of entries that are not written.
#[derive(Clone)]
pub struct Client(Http);

impl Client {
    /// Creates a client. It must be used on the ntex thread that created it.
    ///
    /// `timeout` bounds each request; the wait time of a read is added to it.
    pub async fn new(address: SocketAddr, timeout: Span) -> Self {
        Self(Http::new(address, timeout, MAX_RESPONSE_BYTES, Reuse::Never).await)
    }

    /// Appends a batch: all of its entries or none.
    pub async fn append(&self, batch: &Batch) -> Result<Receipt, Error> {
        self.append_to(PATH, batch).await
    }

    /// Appends a batch on a condition: all of its entries or none.
    pub async fn append_if(&self, batch: &Batch, condition: Condition) -> Result<Receipt, Error> {
        let after = condition.after.map(|after| format!("&after={after}"));
        let path = format!(
            "{PATH}?timeline={}{}",
            condition.timeline,
            after.unwrap_or_default()
        );
        self.append_to(&path, batch).await
    }

    async fn append_to(&self, path: &str, batch: &Batch) -> Result<Receipt, Error> {
        let content = Content {
            media_type: MEDIA_TYPE,
            bytes: batch.to_cbor(),
        };
        let response = self
            .0
            .exchange(Method::POST, path, Some(content), Span::ZERO)
            .await?;
        match response.status {
            StatusCode::OK => {
                let receipt = Receipt::from_cbor(&response.body)?;
                receipt.check(batch.len())?;
                Ok(receipt)
            }
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge {
                what: "the batch",
                size: format!("{} entries", batch.len()),
                limit: MAX_BATCH_BYTES,
            }),
            _ => Err(self.status_error(&response)),
        }
    }

    /// Reads records. If there are none from `query.from` on, the service waits up to
    /// `query.wait_ms` for them.
    pub async fn read(&self, query: Query) -> Result<Page, Error> {
        let Query { from, max, wait_ms } = query;
        let path = format!("{PATH}?from={from}&max={max}&wait_ms={wait_ms}");
        let wait = Span::from_millis(wait_ms);
        let response = self.0.exchange(Method::GET, &path, None, wait).await?;
        match response.status {
            StatusCode::OK => {
                let page = Page::from_cbor(&response.body)?;
                page.check(from)?;
                Ok(page)
            }
            StatusCode::GONE => Err(Error::Expired {
                from,
                first: Bounds::from_cbor(&response.body)?.first,
            }),
            _ => Err(self.status_error(&response)),
        }
    }

    /// Fetches the range of offsets that the service retains.
    pub async fn bounds(&self) -> Result<Bounds, Error> {
        let query = Query {
            from: Offset(0),
            max: 0,
            wait_ms: 0,
        };
        let Page { first, end, .. } = self.read(query).await?;
        Ok(Bounds { first, end })
    }

    /// Returns the error for a status other than 200. A request that the service rejects as invalid
    /// (400 to 499) had no effect.
    fn status_error(&self, response: &Response) -> Error {
        match self.0.unexpected_status(response) {
            crate::error::Error::Malformed { reason, .. } if response.status.is_client_error() => {
                Error::Refused(reason)
            }
            error => error.into(),
        }
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Client").field(&self.0.address()).finish()
    }
}
