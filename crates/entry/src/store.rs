//! Client of the platform's store, a log of keyed records.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, Result, anyhow, bail};
use ragwortrill_core::{number::Offset, time::Span};

use crate::{
    call::{self, Call, Client, Reply},
    protocol::{Append, Draft, Member, Membership, Page, Read, Record},
    shared::Shared,
};

/// Timeout of requests to the store. Reads add the time for which they wait for a record.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time in which the records of a read arrive. On a busy link several versions of a large
/// configuration take longer than `RESPONSE_TIMEOUT`, and each retry would begin anew.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Largest response of the store. It sends at most 1 MB of records, which grow by their encoding.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Client of the store for one task, with a connection of its own.
pub(crate) struct Store {
    shared: Rc<Shared>,
    client: Client,
}

impl Store {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        let address = shared.settings.borrow().store;
        Self {
            shared,
            client: Client::new(address, MAX_RESPONSE_BYTES),
        }
    }

    /// Reads the first page of the newest records, with the offset from which to continue reading if
    /// there are no more.
    pub(crate) async fn first_page(&mut self, topic: &str) -> Result<Page> {
        let log = self.shared.protocol.log;
        let call = (log.newest)(topic, None);
        let reply = self.fetch(&call, RESPONSE_TIMEOUT).await?;
        (log.decode_newest)(&reply)
    }

    /// Reads the newest record of each key, and the offset from which to continue reading. The
    /// pages are not a consistent snapshot: records from that offset on may be among them.
    pub(crate) async fn newest(&mut self, topic: &str) -> Result<(Vec<Record>, Offset)> {
        let log = self.shared.protocol.log;
        let mut records = Vec::new();
        let mut next_offset = None;
        let mut timeline = None;
        loop {
            let after = records.last().map(|record: &Record| record.key.as_str());
            let reply = self
                .fetch(&(log.newest)(topic, after), RESPONSE_TIMEOUT)
                .await?;
            let page = (log.decode_newest)(&reply)?;
            if *timeline.get_or_insert(self.shared.timeline.get()) != self.shared.timeline.get() {
                bail!("the store was restored while its records were listed");
            }
            let next_offset = *next_offset.get_or_insert(page.end);
            let is_last = !page.has_more || page.records.is_empty();
            records.extend(page.records);
            if is_last {
                return Ok((records, next_offset));
            }
        }
    }

    /// Reads records from an offset on; waits for the first if there is none.
    pub(crate) async fn read(&mut self, topic: &str, from: Offset, wait: Span) -> Result<Read> {
        let log = self.shared.protocol.log;
        let limit = RESPONSE_TIMEOUT + wait.as_duration();
        let reply = self.fetch(&(log.read)(topic, from, wait), limit).await?;
        (log.decode_read)(&reply, from)
    }

    /// Appends all records or none. If `at` is given, the append fails unless the topic ends there.
    pub(crate) async fn append(
        &mut self,
        topic: &str,
        at: Option<Offset>,
        records: &[Draft],
    ) -> Result<Append> {
        let log = self.shared.protocol.log;
        let call = (log.append)(topic, at, records);
        let reply = self.call(&call, RESPONSE_TIMEOUT).await?;
        (log.decode_append)(&reply, at, records.len())
    }

    /// Joins the group of hosts or renews the membership.
    pub(crate) async fn join(&mut self, member: &Member<'_>) -> Result<Membership> {
        let protocol = self.shared.protocol;
        let call = (protocol.log.join)(&protocol.topics, member);
        let reply = self.call(&call, RESPONSE_TIMEOUT).await?;
        (protocol.log.decode_join)(&reply)
    }

    /// Leaves the group of hosts.
    pub(crate) async fn leave(&mut self, member: &Member<'_>) -> Result<()> {
        let protocol = self.shared.protocol;
        let call = (protocol.log.leave)(&protocol.topics, member);
        self.call(&call, RESPONSE_TIMEOUT).await.map(drop)
    }

    async fn call(&mut self, call: &Call, limit: Duration) -> Result<Reply> {
        let outcome = self.client.call(call, limit).await;
        self.check(call, outcome)
    }

    /// Calls the store for records, and waits for them while they arrive.
    async fn fetch(&mut self, call: &Call, idle: Duration) -> Result<Reply> {
        let outcome = self.client.fetch(call, idle, idle + TRANSFER_TIMEOUT).await;
        self.check(call, outcome)
    }

    fn check(&self, call: &Call, outcome: Result<Reply, call::Error>) -> Result<Reply> {
        let result = match &outcome {
            Ok(reply) if matches!(reply.status, 429 | 503) => "refused",
            Ok(_) => "answered",
            Err(_) => "lost",
        };
        self.shared.metrics.record_store_call(&call.path, result);
        let reply = outcome.with_context(|| format!("{} {}", call.method, call.path))?;
        let timeline = (self.shared.protocol.log.timeline)(&reply);
        self.shared.observe_timeline(timeline);
        if self.shared.timeline.get() != Some(timeline) {
            bail!("{}: answer from before the store was restored", call.path);
        }
        match result {
            "refused" => Err(anyhow!("{}: status {}", call.path, reply.status)),
            _ => Ok(reply),
        }
    }
}
