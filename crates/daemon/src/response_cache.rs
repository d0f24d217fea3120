//! Cache of responses to non-idempotent requests, for callers that repeat them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use ragwortrill_core::request;
use ragwortrill_wire::Header;

/// Maximum size of a cached body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024;

/// Maximum number of cached responses. With bodies of the maximum size they take 32 MiB.
const MAX_RESPONSES: usize = 2_048;

/// A cached response.
#[derive(Clone, Debug)]
pub(crate) struct CachedResponse {
    /// Hash of the caller's name. Other callers never get the response.
    pub(crate) caller: u64,
    pub(crate) headers: Vec<Header>,
    /// The whole body, or `None` if it was too large or was cut off.
    pub(crate) body: Option<Vec<u8>>,
}

/// Cached responses. The oldest is dropped first.
#[derive(Debug, Default)]
pub(crate) struct Cache(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    responses: BTreeMap<request::Id, CachedResponse>,
    order: VecDeque<request::Id>,
}

impl Cache {
    pub(crate) fn insert(&self, request: request::Id, response: CachedResponse) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.responses.insert(request, response).is_none() {
            inner.order.push_back(request);
        }
        if inner.order.len() > MAX_RESPONSES
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.responses.remove(&oldest);
        }
    }

    /// Returns the response to a request, if `caller` sent it.
    pub(crate) fn find(&self, request: request::Id, caller: u64) -> Option<CachedResponse> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let response = inner
            .responses
            .get(&request)
            .filter(|response| response.caller == caller);
        response.cloned()
    }
}
