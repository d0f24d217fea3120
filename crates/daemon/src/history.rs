//! History of the log that this daemon follows: after the log service was restored from an older
//! copy, the records that it lost are appended again before anything else.
//!
//! The daemons that read the lost records append them in their order, on condition of the log's
//! end, so that each gets its former offset. A [`Record::Resumed`] then marks the timeline as
//! complete. Until a daemon has read it, it appends nothing else and takes no read as a proof that
//! no newer record exists.

use std::{cell::Cell, rc::Rc};

use ntex::time::{Millis, sleep};
use ragwortrill_core::{
    number::{Offset, Timeline},
    record::{Entry, Id, Record},
    time::{Instant, Span},
};
use ragwortrill_entry::clock::wall_ms;
use ragwortrill_platform::log::{Batch, Client, Condition, Error, MAX_BATCH_ENTRIES, Page, Query};
use tokio::sync::Notify;

use crate::{recent::Recent, shared::Shared};

/// Time without a new record after which the lost records count as complete. Daemons that read
/// more of them append theirs meanwhile.
const SETTLING_TIME: Span = Span::from_millis(1_000);
/// Interval between two looks at the log during the recovery.
const POLL_INTERVAL: Millis = Millis(100);
/// Maximum number of records in a read.
const MAX_PAGE_RECORDS: u32 = 1_000;

/// Timeline of the log that this daemon has verified.
#[derive(Debug, Default)]
pub(crate) struct History {
    verified: Cell<Option<Timeline>>,
    resumed: Notify,
}

impl History {
    /// Returns the timeline in which this daemon may append, once it is verified.
    pub(crate) async fn timeline(&self) -> Timeline {
        loop {
            if let Some(timeline) = self.verified.get() {
                return timeline;
            }
            self.resumed.notified().await;
        }
    }

    /// Returns whether a read of a timeline counts.
    pub(crate) fn is_verified(&self, timeline: Timeline) -> bool {
        self.verified.get() == Some(timeline)
    }

    /// Makes appends wait until the log's timeline is verified.
    pub(crate) fn suspend(&self) {
        self.verified.set(None);
    }

    fn resume(&self, timeline: Timeline) {
        self.verified.set(Some(timeline));
        self.resumed.notify_waiters();
    }
}

/// Verifies that the log still has all records that this daemon has read, and appends those that it
/// lost.
pub(crate) async fn verify(
    client: &Client,
    history: &Rc<History>,
    recent: &Recent,
    shared: &Shared,
) -> Result<(), Error> {
    let mut quiet: Option<(Offset, Instant)> = None;
    loop {
        let known = recent.last();
        let from = known.map_or(Offset(0), |(offset, _)| offset);
        let page = read(client, from).await?;
        if page.timeline == Timeline::default() {
            history.resume(page.timeline);
            return Ok(());
        }
        if page.end < from {
            append_lost(client, recent, &page).await;
            continue;
        }
        let has_known = known.is_none_or(|(offset, id)| {
            let mut rows = page.records.iter();
            rows.any(|row| row.offset == offset && row.id == id)
        });
        if !has_known || page.end < shared.offset() {
            log::error!(offset = from.0, end = page.end.0; "the restored log differs from what this daemon has read; restart the daemon");
            sleep(POLL_INTERVAL).await;
            continue;
        }
        // A log that has dropped its first records was restored long ago.
        let has_expired = page.first > Offset(1) && known.is_none();
        if has_expired || has_marker(client, &page).await? {
            log::info!(timeline = page.timeline.0, end = page.end.0; "log resumed after it was restored from a copy");
            history.resume(page.timeline);
            return Ok(());
        }
        let now = shared.clock.now();
        let (end, since) = *quiet.get_or_insert((page.end, now));
        if end != page.end {
            quiet = None;
        } else if now.since(since) >= SETTLING_TIME {
            append_marker(client, &page).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn read(client: &Client, from: Offset) -> Result<Page, Error> {
    let query = Query {
        from,
        max: MAX_PAGE_RECORDS,
        wait_ms: 0,
    };
    client.read(query).await
}

/// Returns whether the log has the record that marks its timeline as complete, on a page or after
/// it.
async fn has_marker(client: &Client, page: &Page) -> Result<bool, Error> {
    let mut page = page.clone();
    loop {
        let Some(last) = page.records.last().map(|row| row.offset) else {
            return Ok(false);
        };
        if is_resumed(&page) || last >= page.end {
            return Ok(is_resumed(&page));
        }
        page = read(client, last.next()).await?;
    }
}

/// Returns whether a page has the record that marks its timeline as complete.
fn is_resumed(page: &Page) -> bool {
    let entries = page.records.iter().filter_map(|row| row.entry().ok());
    let mut records = entries.map(|entry| entry.record);
    records.any(|record| {
        record
            == Record::Resumed {
                timeline: page.timeline,
            }
    })
}

/// Appends the records after the log's end that this daemon has read before.
async fn append_lost(client: &Client, recent: &Recent, page: &Page) {
    let mut batch = Batch::new();
    for entry in recent.entries_after(page.end).take(MAX_BATCH_ENTRIES) {
        if batch.push(&entry).is_err() {
            break;
        }
    }
    if batch.is_empty() {
        log::error!(end = page.end.0; "records that the log lost are not in memory any more");
        return sleep(POLL_INTERVAL).await;
    }
    log::warn!(records = batch.len(), end = page.end.0; "the log was restored from a copy; records that it lost are appended again");
    append(client, &batch, page).await;
}

async fn append_marker(client: &Client, page: &Page) {
    let entry = Entry {
        id: Id(u128::from(page.timeline.0) << 64 | u128::from(page.end.0)),
        actor: "log".to_owned(),
        reason: "the log was restored from a copy".to_owned(),
        written_ms: wall_ms(),
        record: Record::Resumed {
            timeline: page.timeline,
        },
    };
    let mut batch = Batch::new();
    if batch.push(&entry).is_ok() {
        append(client, &batch, page).await;
    }
}

/// Appends a batch at the end that a page shows. Another daemon may be first; the next read shows.
async fn append(client: &Client, batch: &Batch, page: &Page) {
    let condition = Condition {
        timeline: page.timeline,
        after: Some(page.end),
    };
    if let Err(error) = client.append_if(batch, condition).await {
        log::info!("records not appended after a restore: {error}");
        sleep(POLL_INTERVAL).await;
    }
}
