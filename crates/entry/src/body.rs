//! Memory for the bodies of requests, which are kept until their requests end: one that a target did
//! not run may be sent to another one.

use std::rc::Rc;

use crate::shared::Shared;

/// Part of the host's memory that the bodies of all requests may take, in percent.
const MEMORY_PERCENT: u64 = 25;
/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_000_000;

/// Memory that is reserved for the body of one request.
pub(crate) struct Reservation {
    shared: Rc<Shared>,
    bytes: u64,
}

impl Reservation {
    /// Reserves nothing yet.
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self { shared, bytes: 0 }
    }

    /// Reserves as many bytes in all, if the bodies of all requests leave room for them.
    pub(crate) fn extend_to(&mut self, bytes: u64) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let total = self.shared.body_bytes.get().saturating_add(added);
        if added > 0 && total > limit(&self.shared) {
            return false;
        }
        self.shared.body_bytes.set(total);
        self.bytes += added;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let total = &self.shared.body_bytes;
        total.set(total.get() - self.bytes);
    }
}

/// Returns the memory that the bodies of all requests may take, in bytes.
fn limit(shared: &Shared) -> u64 {
    match shared.settings.borrow().limits.memory_mb {
        0 => u64::MAX,
        memory_mb => memory_mb.saturating_mul(MEGABYTE) / 100 * MEMORY_PERCENT,
    }
}
