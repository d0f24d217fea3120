//! State and handles that the threads of a daemon share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use crossbeam_channel::{Sender, TrySendError};
use ragwortrill_core::{event::Event, node::Node, number::Offset, process::Process, table::Table};

use tokio::sync::mpsc;

use crate::{
    Clock, link::Link, metrics::Metrics, node_loop::ControlCall, registry::Registry,
    response_cache::Cache, shutdown::Shutdown,
};

/// Capacity of the channel to the node thread.
pub(crate) const INBOX_CAPACITY: usize = 16_384;

/// Message to the node thread.
pub(crate) enum Inbound {
    /// An event for the node.
    Event(Event),
    /// A function that reads the node's state.
    Inspect(Box<dyn FnOnce(&Node) + Send>),
    /// Ends the node thread.
    Close,
}

/// Handles that the threads of a daemon share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) inbox: Sender<Inbound>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) links: Arc<RwLock<BTreeMap<Process, Link>>>,
    pub(crate) response_cache: Arc<Cache>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) process: Process,
    pub(crate) published: Arc<Published>,
    /// Channel to the control thread. The node thread has its only strong sender.
    pub(crate) control_calls: mpsc::WeakSender<ControlCall>,
    /// Secret that the daemons of a system share.
    pub(crate) secret: Arc<str>,
    pub(crate) shutdown: Arc<Shutdown>,
    /// Number of threads that send requests to targets.
    pub(crate) sending_threads: usize,
}

/// State that the node thread publishes for the other threads.
#[derive(Debug, Default)]
pub(crate) struct Published {
    table: RwLock<Arc<Table>>,
    offset: AtomicU64,
    sequence: AtomicU64,
    log_reached: AtomicBool,
}

impl Shared {
    /// Sends an event to the node. Blocks while the inbox is full, which can't cause a deadlock
    /// because the node thread never waits for other threads.
    pub(crate) fn send_event(&self, event: Event) {
        if self.inbox.send(Inbound::Event(event)).is_err() {
            log::debug!("an event is dropped because the node has stopped");
        }
    }

    /// Sends an event to the node. Returns false if the inbox is full or closed.
    pub(crate) fn try_send_event(&self, event: Event) -> bool {
        match self.inbox.try_send(Inbound::Event(event)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Runs a function on the node's state and returns its result.
    pub(crate) async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let read = Box::new(move |node: &Node| {
            let _ = sender.send(read(node));
        });
        self.inbox.try_send(Inbound::Inspect(read)).ok()?;
        receiver.await.ok()
    }

    /// Returns the latest table that the node has applied.
    pub(crate) fn table(&self) -> Arc<Table> {
        let table = &self.published.table;
        table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the offset up to which the node has applied the log.
    pub(crate) fn offset(&self) -> Offset {
        Offset(self.published.offset.load(Ordering::Relaxed))
    }

    /// Publishes the node's offset, and its table if it is new.
    pub(crate) fn publish(&self, node: &Node, is_new_table: bool) {
        let offset = node.ledger().offset().0;
        self.published.offset.store(offset, Ordering::Relaxed);
        if is_new_table {
            let table = &self.published.table;
            let mut table = table.write().unwrap_or_else(PoisonError::into_inner);
            *table = Arc::new(node.ledger().table().clone());
        }
    }

    /// Records that the log service has answered a read.
    pub(crate) fn set_log_reached(&self) {
        self.published.log_reached.store(true, Ordering::Relaxed);
    }

    /// Returns true if the log service has answered a read since the start.
    pub(crate) fn is_log_reached(&self) -> bool {
        self.published.log_reached.load(Ordering::Relaxed)
    }

    /// Returns a number that is unique in this process.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.published.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the link to a process, if there is one.
    pub(crate) fn link(&self, process: &Process) -> Option<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(process).cloned()
    }
}
