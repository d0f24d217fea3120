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
    number::Offset,
    record::{self, Entry},
    time::Span,
};
use ragwortrill_platform::log::{Batch, Client, Page, Query};
use tokio::sync::mpsc;

use crate::{clock::wall_ms, recent::Recent, shell::Shell};

/// Time allowed for an append or for a read beyond its wait.
const TIMEOUT: Span = Span::from_secs(2);

/// Pause before a failed read or append is repeated.
const RETRY: Millis = Millis(100);

/// Largest number of records in a read.
const PAGE: u32 = 1_000;

/// Entries that were not seen in the log yet.
#[derive(Debug, Default)]
struct Pending {
    entries: BTreeMap<record::Id, Entry>,
    order: VecDeque<record::Id>,
}

/// Reads and appends until the ring is closed.
pub(crate) async fn run(
    address: SocketAddr,
    wait: Span,
    entries: mpsc::Receiver<Entry>,
    recent: Recent,
    shell: Shell,
) {
    let pending = Rc::new(RefCell::new(Pending::default()));
    tokio::select! {
        () = read(address, wait, pending.clone(), recent, shell.clone()) => {}
        () = append(address, entries, pending, shell) => {}
    }
}

async fn read(
    address: SocketAddr,
    wait: Span,
    pending: Rc<RefCell<Pending>>,
    recent: Recent,
    shell: Shell,
) {
    let client = Client::new(address, TIMEOUT).await;
    let mut from = Offset(1);
    loop {
        let sent = shell.clock.now();
        let query = Query {
            from,
            max: PAGE,
            wait_ms: wait.as_millis(),
        };
        match client.read(query).await {
            Ok(page) => {
                from = take(page, sent, from, &pending, &recent, &shell);
            }
            Err(error) => {
                log::warn!("log service can't be read: {error}");
                sleep(RETRY).await;
            }
        }
    }
}

fn take(
    page: Page,
    sent: ragwortrill_core::time::Instant,
    from: Offset,
    pending: &RefCell<Pending>,
    recent: &Recent,
    shell: &Shell,
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
    shell.event(Event::Read(Read {
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
    shell: Shell,
) {
    let client = Client::new(address, TIMEOUT).await;
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
        match client.append(&batch).await {
            Ok(_) => {
                shell.metrics.appended(ids.len() as u64, "written");
                pending.borrow_mut().finish(&ids);
            }
            Err(error) => {
                log::warn!(entries = ids.len(); "log append failed: {error}");
                shell.metrics.appended(ids.len() as u64, "failed");
                sleep(RETRY).await;
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

    /// Collects the oldest entries that a read has not returned yet into one append.
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

    fn finish(&mut self, ids: &[record::Id]) {
        ids.iter().for_each(|id| {
            self.entries.remove(id);
        });
        self.order.retain(|id| self.entries.contains_key(id));
    }
}
