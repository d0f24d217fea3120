//! The leader's lease: the right to send orders, renewed by records that are written on condition
//! of the topic's end, so that no two hosts renew it.

use std::{cell::Cell, rc::Rc, time::Duration};

use anyhow::{Result, bail};
use ragwortrill_core::{
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::leader;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    protocol::{Append, Draft},
    shared::Shared,
    store::Store,
};

/// Lifetime of the lease, from the moment at which its record was sent.
const LEASE: Span = Span::from_millis(3_000);
/// Drift between the clocks of two hosts, in percent.
const DRIFT_PERCENT: u64 = 1;
/// Pause between two renewals.
const PAUSE: Duration = Duration::from_millis(700);
/// Pause after a renewal that was not answered.
const RETRY: Duration = Duration::from_millis(200);
/// Key of the lease.
pub(crate) const TERM: &str = "term";

/// The lease as it stands in the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Term {
    pub(crate) number: u64,
    pub(crate) host: String,
    /// Whether the holder gave the lease up and sends no order any more.
    is_over: bool,
}

impl Term {
    /// Returns the record of the lease.
    pub(crate) fn record(&self) -> Result<Draft> {
        Ok(Draft {
            key: TERM.to_owned(),
            value: serde_json::to_vec(self)?,
        })
    }
}

/// The lease that this host holds or held.
pub(crate) struct Lease {
    shared: Rc<Shared>,
    term: Term,
    /// End of the topic after the last record of this host.
    at: Cell<Offset>,
    /// When the latest record that renewed the lease was sent.
    proved: Cell<Instant>,
    is_over: Cell<bool>,
    /// When the last grant of an earlier leader has run out.
    earlier_until: Instant,
}

impl Lease {
    /// Takes the lease from its holder, if there is one.
    pub(crate) async fn take(shared: &Rc<Shared>, store: &mut Store) -> Result<Rc<Self>> {
        let (earlier, at) = read(shared, store).await?;
        let host = shared.settings.borrow().host.to_string();
        let proved = shared.now();
        let term = Term {
            number: earlier.as_ref().map_or(0, |term| term.number) + 1,
            host,
            is_over: false,
        };
        let topic = shared.protocol.topics.terms;
        let Append::Done(at) = store.append(topic, Some(at), &[term.record()?]).await? else {
            bail!("another host took the lease");
        };
        Ok(Rc::new(Self {
            shared: shared.clone(),
            earlier_until: earlier_until(shared, earlier, &term.host, proved),
            term,
            at: Cell::new(at),
            proved: Cell::new(proved),
            is_over: Cell::new(false),
        }))
    }

    pub(crate) fn term(&self) -> &Term {
        &self.term
    }

    /// Returns when the last grant of an earlier leader has run out.
    pub(crate) fn earlier_until(&self) -> Instant {
        self.earlier_until
    }

    /// Returns the time since the lease was renewed.
    pub(crate) fn age(&self) -> Span {
        self.shared.now().since(self.proved.get())
    }

    /// Tells whether this host may send orders at this moment.
    pub(crate) fn is_in_force(&self) -> bool {
        !self.is_over.get() && self.age() < LEASE
    }

    /// Ends the lease on this host.
    pub(crate) fn end(&self) {
        self.is_over.set(true);
    }

    /// Renews the lease until it ends.
    pub(crate) async fn keep(self: Rc<Self>) -> Result<()> {
        let mut store = Store::new(self.shared.clone());
        let record = [self.term.record()?];
        let mut pause = PAUSE;
        loop {
            sleep(pause).await;
            if self.is_over.get() {
                return Ok(());
            }
            pause = match self.renew(&mut store, &record).await {
                Ok(true) => PAUSE,
                Ok(false) => RETRY,
                Err(error) => {
                    log::warn!(error = format!("{error:#}"); "lease not renewed");
                    RETRY
                }
            };
        }
    }

    /// Writes the lease again. Returns whether it was renewed.
    async fn renew(&self, store: &mut Store, record: &[Draft]) -> Result<bool> {
        let topic = self.shared.protocol.topics.terms;
        let sent = self.shared.now();
        match store.append(topic, Some(self.at.get()), record).await? {
            Append::Done(end) => {
                self.at.set(end);
                self.proved.set(sent);
                Ok(true)
            }
            Append::Conflict(end) => {
                // An earlier renewal without an answer may have been written.
                let (term, _) = read(&self.shared, store).await?;
                if term.as_ref() != Some(&self.term) {
                    self.end();
                    bail!("another host took the lease");
                }
                self.at.set(end);
                Ok(false)
            }
            Append::Refused => Ok(false),
        }
    }

    /// Notes in the log that this host sends no orders any more.
    pub(crate) async fn give_up(&self, store: &mut Store) -> Result<()> {
        let term = Term {
            is_over: true,
            ..self.term.clone()
        };
        let topic = self.shared.protocol.topics.terms;
        let at = Some(self.at.get());
        store.append(topic, at, &[term.record()?]).await.map(drop)
    }
}

/// Returns when the last grant of an earlier leader has run out.
fn earlier_until(shared: &Shared, earlier: Option<Term>, host: &str, now: Instant) -> Instant {
    let max_hold = shared.settings.borrow().bounds.max_hold;
    match earlier {
        None => Instant::default(),
        // The earlier process of this host has ended.
        Some(term) if term.is_over || term.host == host => leader::expiry(now, max_hold),
        Some(_) => leader::expiry(now + LEASE.scale(100 + DRIFT_PERCENT, 100), max_hold),
    }
}

async fn read(shared: &Shared, store: &mut Store) -> Result<(Option<Term>, Offset)> {
    let (records, end) = store.newest(shared.protocol.topics.terms).await?;
    let record = records.into_iter().find(|record| record.key == TERM);
    let value = record.and_then(|record| record.value);
    let term = value
        .map(|value| serde_json::from_slice(&value))
        .transpose()?;
    Ok((term, end))
}
