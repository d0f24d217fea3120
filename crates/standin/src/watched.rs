//! Shared state whose changes can be awaited.

use std::{
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::watch;

/// A value shared between threads, which can wait for its changes.
pub(crate) struct Watched<T> {
    value: Mutex<T>,
    condvar: Condvar,
    changes: watch::Sender<()>,
}

impl<T> Watched<T> {
    pub(crate) fn new(value: T) -> Self {
        Self {
            value: Mutex::new(value),
            condvar: Condvar::new(),
            changes: watch::Sender::new(()),
        }
    }

    pub(crate) fn read<R>(&self, read: impl FnOnce(&T) -> R) -> R {
        read(&self.lock())
    }

    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.notify();
        result
    }

    /// Calls `attempt` now and after each change until it returns a result.
    pub(crate) async fn until<R>(&self, mut attempt: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut changes = self.changes.subscribe();
        loop {
            let attempted = attempt(&mut self.lock());
            if let Some(result) = attempted {
                self.notify();
                return result;
            }
            // This fails only without a sender, and `self` holds the sender.
            let _ = changes.changed().await;
        }
    }

    /// Blocks the thread until the condition holds. Returns false when `limit` has passed.
    pub(crate) fn wait(&self, limit: Duration, mut holds: impl FnMut(&T) -> bool) -> bool {
        let end = Instant::now() + limit;
        let mut value = self.lock();
        while !holds(&value) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let woken = self.condvar.wait_timeout(value, left);
            value = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    fn notify(&self) {
        self.changes.send_replace(());
        self.condvar.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
