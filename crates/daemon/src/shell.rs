//! What the threads of a daemon share.

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
    Clock, answers::Answers, decide::Check, link::Link, metrics::Metrics, registry::Registry,
};

/// Capacity of the ring to the thread that decides.
pub(crate) const INBOX: usize = 16_384;

/// Message to the thread that decides.
pub(crate) enum Inbound {
    /// An event for the node.
    Event(Event),
    /// A look at the node's state.
    Inspect(Box<dyn FnOnce(&Node) + Send>),
    /// The end of the process.
    Close,
}

/// Handles that the threads of a daemon share.
#[derive(Clone)]
pub(crate) struct Shell {
    pub(crate) clock: Clock,
    pub(crate) inbox: Sender<Inbound>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) links: Arc<RwLock<BTreeMap<Process, Link>>>,
    pub(crate) answers: Arc<Answers>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) process: Process,
    pub(crate) published: Arc<Published>,
    /// Ring to the control side of targets. The deciding thread keeps it open.
    pub(crate) checks: mpsc::WeakSender<Check>,
    /// Secret that the daemons of a system share.
    pub(crate) secret: Arc<str>,
    /// Number of threads that send requests to targets.
    pub(crate) senders: usize,
}

/// State that the deciding thread publishes for the others.
#[derive(Debug, Default)]
pub(crate) struct Published {
    table: RwLock<Arc<Table>>,
    offset: AtomicU64,
    sequence: AtomicU64,
    has_log: AtomicBool,
}

impl Shell {
    /// Passes an event to the node. Waits for room: the deciding thread waits for nobody.
    pub(crate) fn event(&self, event: Event) {
        if self.inbox.send(Inbound::Event(event)).is_err() {
            log::debug!("the node has stopped; an event is dropped");
        }
    }

    /// Passes an event to the node unless its ring is full.
    pub(crate) fn try_event(&self, event: Event) -> bool {
        match self.inbox.try_send(Inbound::Event(event)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Runs a function on the node's state and returns its result.
    pub(crate) async fn inspect<T: Send + 'static>(
        &self,
        look: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let look = Box::new(move |node: &Node| {
            let _ = sender.send(look(node));
        });
        self.inbox.try_send(Inbound::Inspect(look)).ok()?;
        receiver.await.ok()
    }

    /// Returns the latest table that the node has read.
    pub(crate) fn table(&self) -> Arc<Table> {
        let table = &self.published.table;
        table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the offset that the node has read.
    pub(crate) fn offset(&self) -> Offset {
        Offset(self.published.offset.load(Ordering::Relaxed))
    }

    /// Publishes the node's offset, and its table if that is a new one.
    pub(crate) fn publish(&self, node: &Node, new_table: bool) {
        let offset = node.ledger().offset().0;
        self.published.offset.store(offset, Ordering::Relaxed);
        if new_table {
            let table = &self.published.table;
            let mut table = table.write().unwrap_or_else(PoisonError::into_inner);
            *table = Arc::new(node.ledger().table().clone());
        }
    }

    /// Notes that the log service has answered a read.
    pub(crate) fn found_log(&self) {
        self.published.has_log.store(true, Ordering::Relaxed);
    }

    /// Tells whether the log service has answered a read since the start.
    pub(crate) fn has_log(&self) -> bool {
        self.published.has_log.load(Ordering::Relaxed)
    }

    /// Returns a number that is unique in this process.
    pub(crate) fn sequence(&self) -> u64 {
        self.published.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the link to a process, if there is one.
    pub(crate) fn link(&self, process: &Process) -> Option<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(process).cloned()
    }
}
