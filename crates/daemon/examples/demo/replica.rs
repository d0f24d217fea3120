//! The current state of the log, computed independently of the daemons.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortrill_core::{
    key::Digest,
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
};
use ragwortrill_standin::log;

/// A replica of the ledger that applies the log's new records before each query.
///
/// A holder sends no request for a key from the append of the record that moves the key until it
/// has read that record. The owner of the key when a target starts to run a request is therefore
/// the same as when the holder sent the request.
pub struct Replica {
    log: Arc<log::Server>,
    ledger: Mutex<Ledger>,
}

impl Replica {
    /// Creates a replica that starts at the beginning of the log.
    pub fn new(log: Arc<log::Server>) -> Self {
        Self {
            log,
            ledger: Mutex::default(),
        }
    }

    /// Returns the owner of a key.
    pub fn owner(&self, service: &name::Service, key: &str) -> Option<name::Target> {
        let key = Digest::new(service, key.as_bytes());
        self.current().owner(service, key).cloned()
    }

    /// Returns the epoch of a target's contract.
    pub fn epoch(&self, target: &name::Target) -> Option<Epoch> {
        let ledger = self.current();
        ledger
            .contracts()
            .get(target)
            .map(|contract| contract.epoch)
    }

    fn current(&self) -> MutexGuard<'_, Ledger> {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        for row in self.log.rows_from(Offset(ledger.offset().0 + 1)) {
            if let Ok(entry) = row.entry() {
                ledger.apply(row.offset, &entry);
            }
        }
        ledger
    }
}
