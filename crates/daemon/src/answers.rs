//! Answers of non-idempotent requests, kept for callers that ask again.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use ragwortrill_core::request;
use ragwortrill_wire::Header;

/// Largest body that is kept, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024;

/// Number of answers that are kept. With bodies of the largest size they take 32 MiB.
const MAX_ANSWERS: usize = 2_048;

/// A kept answer.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    /// Hash of the caller's name. Others never get the answer.
    pub(crate) caller: u64,
    pub(crate) headers: Vec<Header>,
    /// The whole body, or `None` if it was too large or broke off.
    pub(crate) body: Option<Vec<u8>>,
}

/// Kept answers, the oldest dropped first.
#[derive(Debug, Default)]
pub(crate) struct Answers(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    kept: BTreeMap<request::Id, Kept>,
    order: VecDeque<request::Id>,
}

impl Answers {
    pub(crate) fn keep(&self, request: request::Id, answer: Kept) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.kept.insert(request, answer).is_none() {
            inner.order.push_back(request);
        }
        if inner.order.len() > MAX_ANSWERS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.kept.remove(&oldest);
        }
    }

    /// Returns the answer of a caller's request.
    pub(crate) fn find(&self, request: request::Id, caller: u64) -> Option<Kept> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = inner
            .kept
            .get(&request)
            .filter(|kept| kept.caller == caller);
        kept.cloned()
    }
}
