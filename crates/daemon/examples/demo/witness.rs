//! The log's state at each moment, independent of the daemons.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortrill_core::{
    key::Digest,
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
};
use ragwortrill_standin::log;

/// Folds the log's records whenever it is asked.
///
/// A holder sends nothing for a key between the append of the key's move and its own read of it,
/// so the state at the start of a run names the same owner as the state at the time of its send.
pub struct Witness {
    log: Arc<log::Server>,
    ledger: Mutex<Ledger>,
}

impl Witness {
    /// Starts at the beginning of the log.
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
