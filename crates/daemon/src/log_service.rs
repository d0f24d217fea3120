//! The thread that reads the platform's log and appends to it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use ntex::time::{Millis, sleep};
use ragwortrill_core::{
    event::{Event, Read},
    ledger::Ledger,
    number::Offset,
    record::{self, Entry},
    snapshot::Assembler,
    time::Span,
};
use ragwortrill_platform::log::{Batch, Client, Condition, Error, Page, Query};
use tokio::sync::mpsc;

use ragwortrill_entry::clock::wall_ms;

use crate::{
    history::{self, History},
    recent::Recent,
    shared::Shared,
};

/// Time limit of an append, and of a read in addition to its wait for new records.
const REQUEST_TIMEOUT: Span = Span::from_secs(2);

/// Delay before a failed read or append is repeated.
const RETRY_DELAY: Millis = Millis(100);

/// Maximum number of records in a read.
const MAX_PAGE_RECORDS: u32 = 1_000;

/// Entries to append that no read has returned yet.
#[derive(Debug, Default)]
struct Pending {
    entries: BTreeMap<record::Id, Entry>,
    /// Entries that are still to be appended, in their order.
    order: VecDeque<record::Id>,
}

/// Reads the log and appends entries until their channel is closed.
pub(crate) async fn run(
    address: SocketAddr,
    wait: Span,
    entries: mpsc::Receiver<Entry>,
    recent: Recent,
    shared: Shared,
) {
    let pending = Rc::new(RefCell::new(Pending::default()));
    let history = Rc::new(History::default());
    tokio::select! {
        () = read(address, wait, pending.clone(), recent, history.clone(), shared.clone()) => {}
        () = append(address, entries, pending, history, shared) => {}
    }
}

async fn read(
    address: SocketAddr,
    wait: Span,
    pending: Rc<RefCell<Pending>>,
    recent: Recent,
    history: Rc<History>,
    shared: Shared,
) {
    let client = Client::new(address, REQUEST_TIMEOUT).await;
    let mut from = Offset(1);
    let mut snapshot = None;
    loop {
        if snapshot.is_none() {
            // State or records from a peer may have advanced the node past this offset.
            from = from.max(shared.offset().next());
        }
        let sent = shared.clock.now();
        let query = Query {
            from,
            max: MAX_PAGE_RECORDS,
            wait_ms: wait.as_millis(),
        };
        match client.read(query).await {
            Ok(page) if !history.is_verified(page.timeline) => {
                history.suspend();
                pending.borrow_mut().requeue();
                if let Err(error) = history::verify(&client, &history, &recent, &shared).await {
                    log::warn!("log service can't be read after a restore: {error}");
                    sleep(RETRY_DELAY).await;
                }
            }
            Ok(page) => {
                shared.set_log_reached();
                from = match &mut snapshot {
                    None => deliver(page, sent, from, &pending, &recent, &shared),
                    Some(assembler) => match find_snapshot(&page, from, assembler) {
                        (_, Some(ledger)) => {
                            snapshot = None;
                            restore(ledger, &shared)
                        }
                        (next, None) => next,
                    },
                };
            }
            Err(Error::Expired { from: lost, first }) => {
                log::warn!(
                    "records from {lost} to {first} have expired; a snapshot is read instead"
                );
                snapshot = Some(Assembler::default());
                from = first;
            }
            Err(error) => {
                log::warn!("log service can't be read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Searches a page for a complete snapshot. Returns the next offset to read.
///
/// A snapshot is used only if the record after its state is still retained, which means that the
/// record's offset is not below the first retained offset.
fn find_snapshot(page: &Page, from: Offset, assembler: &mut Assembler) -> (Offset, Option<Ledger>) {
    let mut next = from;
    for row in &page.records {
        next = row.offset.next();
        let entry = match row.entry() {
            Ok(entry) => entry,
            Err(error) => {
                log::error!(offset = row.offset.0; "log record can't be read: {error}");
                continue;
            }
        };
        match assembler.add(&entry) {
            Some(Ok(ledger)) if ledger.offset().next() >= page.first => {
                return (next, Some(ledger));
            }
            Some(Err(error)) => {
                log::error!(offset = row.offset.0; "snapshot can't be restored: {error}")
            }
            _ => {}
        }
    }
    if next > page.end {
        log::error!(
            "the log has no complete snapshot from {} on; start a daemon that has the state",
            page.first
        );
    }
    (next, None)
}

/// Replaces the node's state by that of a snapshot. Returns the next offset to read.
fn restore(ledger: Ledger, shared: &Shared) -> Offset {
    let at = ledger.offset();
    log::info!(offset = at.0; "state restored from a snapshot");
    shared.metrics.snapshot_restored();
    shared.send_event(Event::Restore(Box::new(ledger)));
    at.next()
}

fn deliver(
    page: Page,
    sent: ragwortrill_core::time::Instant,
    from: Offset,
    pending: &RefCell<Pending>,
    recent: &Recent,
    shared: &Shared,
) -> Offset {
    let mut rows = Vec::with_capacity(page.records.len());
    let mut next = from;
    for row in &page.records {
        match row.entry() {
            Ok(entry) => {
                pending.borrow_mut().entries.remove(&entry.id);
                rows.push((row.offset, entry));
                next = row.offset.next();
            }
            Err(error) => {
                log::error!(offset = row.offset.0; "log record can't be read: {error}");
                break;
            }
        }
    }
    recent.push(&rows, sent, page.end);
    shared.send_event(Event::Read(Read {
        sent,
        end: page.end,
        rows,
    }));
    next
}

async fn append(
    address: SocketAddr,
    mut entries: mpsc::Receiver<Entry>,
    pending: Rc<RefCell<Pending>>,
    history: Rc<History>,
    shared: Shared,
) {
    let client = Client::new(address, REQUEST_TIMEOUT).await;
    loop {
        if pending.borrow().order.is_empty() {
            let Some(entry) = entries.recv().await else {
                return;
            };
            pending.borrow_mut().push(entry);
        }
        while let Ok(entry) = entries.try_recv() {
            pending.borrow_mut().push(entry);
        }
        let (batch, ids) = pending.borrow_mut().batch();
        if ids.is_empty() {
            pending.borrow_mut().drop_oversized();
            continue;
        }
        let condition = Condition {
            timeline: history.timeline().await,
            after: None,
        };
        match client.append_if(&batch, condition).await {
            Ok(_) => {
                shared.metrics.entries_appended(ids.len() as u64, "written");
                pending.borrow_mut().finish(&ids);
            }
            Err(error) => {
                log::warn!(entries = ids.len(); "log append failed: {error}");
                shared.metrics.entries_appended(ids.len() as u64, "failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl Pending {
    fn push(&mut self, mut entry: Entry) {
        if entry.written_ms == 0 {
            entry.written_ms = wall_ms();
        }
        self.order.push_back(entry.id);
        self.entries.insert(entry.id, entry);
    }

    /// Collects the oldest entries that no read has returned yet into one append.
    fn batch(&mut self) -> (Batch, Vec<record::Id>) {
        self.order.retain(|id| self.entries.contains_key(id));
        let mut batch = Batch::default();
        let mut ids = Vec::new();
        for id in &self.order {
            if batch.push(&self.entries[id]).is_err() {
                break;
            }
            ids.push(*id);
        }
        (batch, ids)
    }

    /// Drops an entry that no batch can hold, so that it does not block those behind it.
    fn drop_oversized(&mut self) {
        if let Some(id) = self.order.pop_front() {
            log::error!(id = id.to_string(); "log entry is too large and is dropped");
            self.entries.remove(&id);
        }
    }

    /// Records that entries are appended. They are kept until a read returns them, since a log that
    /// is restored from a copy may lose them.
    fn finish(&mut self, ids: &[record::Id]) {
        self.order.retain(|id| !ids.contains(id));
    }

    /// Makes all entries that no read has returned be appended again.
    fn requeue(&mut self) {
        let appended = self.entries.keys().filter(|id| !self.order.contains(id));
        let appended: Vec<record::Id> = appended.copied().collect();
        appended
            .into_iter()
            .rev()
            .for_each(|id| self.order.push_front(id));
    }
}
