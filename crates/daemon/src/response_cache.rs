//! Answers of non-idempotent requests, responses for callers that ask again.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use ragwortrill_core::request;
use ragwortrill_wire::Header;

/// Largest body that is responses, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024;

/// Number of answers that are responses. With bodies of the largest size they take 32 MiB.
const MAX_RESPONSES: usize = 2_048;

/// A responses response.
#[derive(Clone, Debug)]
pub(crate) struct CachedResponse {
    /// Hash of the caller's name. Others never get the response.
    pub(crate) caller: u64,
    pub(crate) headers: Vec<Header>,
    /// The whole body, or `None` if it was too large or broke off.
    pub(crate) body: Option<Vec<u8>>,
}

/// CachedResponse answers, the oldest dropped first.
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

    /// Returns the response of a caller's request.
    pub(crate) fn find(&self, request: request::Id, caller: u64) -> Option<CachedResponse> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let responses = inner
            .responses
            .get(&request)
            .filter(|responses| responses.caller == caller);
        responses.cloned()
    }
}
