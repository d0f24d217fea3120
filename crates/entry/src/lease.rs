//! The leader's lease: the right to send grants and releases to targets. It is renewed by records
//! that are appended on condition of the topic's end, so that two hosts can't both renew it.

use std::{cell::Cell, rc::Rc, time::Duration};

use anyhow::{Result, bail, ensure};
use ragwortrill_core::{
    number::{Offset, Timeline},
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

/// Lifetime of the lease, counted from the sending of the record that renewed it.
const LEASE_TTL: Span = Span::from_millis(3_000);
/// Clock drift between two hosts that is allowed for, in percent.
const DRIFT_PERCENT: u64 = 1;
/// Interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Delay before a failed renewal is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest number of a term; later ones must not overflow.
const MAX_NUMBER: u64 = u64::MAX >> 1;
/// Key of the lease's record.
pub(crate) const TERM_KEY: &str = "term";

/// Record of the lease in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Term {
    pub(crate) number: u64,
    pub(crate) host: String,
    /// Whether the holder has released the lease and no longer sends grants and releases.
    pub(crate) is_over: bool,
    /// Whether the lease before this one may have lasted when the holder released this one.
    #[serde(default)]
    pub(crate) is_earlier_valid: bool,
    /// Timeline of the store in which the holder acquired the lease.
    #[serde(default)]
    pub(crate) timeline: Timeline,
    /// Whether ranges may be missing that an earlier leader granted, until all its grants have ended.
    #[serde(default)]
    pub(crate) is_uncertain: bool,
}

/// Order of terms: by timeline, then by number.
pub type Rank = (Timeline, u64);

impl Term {
    pub(crate) fn rank(&self) -> Rank {
        (self.timeline, self.number)
    }

    /// Returns whether two records are of the same lease.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.rank() == other.rank() && self.host == other.host
    }

    /// Decodes the record of a lease or claim; logs one that can't be decoded. It counts as missing,
    /// so the next leader waits until the grants of any earlier one have expired.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let decoded: Result<Self> = serde_json::from_slice(value).map_err(Into::into);
        let checked = decoded.and_then(|term| {
            ensure!(
                term.number <= MAX_NUMBER,
                "number {} is above {MAX_NUMBER}",
                term.number
            );
            Ok(term)
        });
        checked
            .inspect_err(|error| {
                log::error!(error = format!("{error:#}"); "record of a leader's term can't be decoded; it counts as missing");
            })
            .ok()
    }

    /// Encodes the lease as a record to append.
    pub(crate) fn record(&self) -> Result<Draft> {
        Ok(Draft {
            key: TERM_KEY.to_owned(),
            value: serde_json::to_vec(self)?,
        })
    }
}

/// A lease that this host acquired; it may have expired since.
pub(crate) struct Lease {
    shared: Rc<Shared>,
    term: Term,
    /// End offset of the topic after this host's last renewal.
    topic_end: Cell<Offset>,
    /// When the last successful renewal was sent.
    renewed_at: Cell<Instant>,
    is_over: Cell<bool>,
    /// When the last grant of an earlier leader has expired.
    earlier_grants_until: Instant,
    /// When the lease of an earlier leader that did not release it has expired.
    earlier_lease_until: Instant,
}

impl Lease {
    /// Acquires the lease, from its holder if there is one.
    pub(crate) async fn acquire(shared: &Rc<Shared>, store: &mut Store) -> Result<Rc<Self>> {
        let (earlier, topic_end) = read(shared, store).await?;
        let timeline = shared.timeline.get().unwrap_or_default();
        let host = shared.settings.borrow().host.to_string();
        let renewed_at = shared.now();
        let term = Term {
            number: latest_number(shared, earlier.as_ref(), timeline) + 1,
            host,
            is_over: false,
            is_earlier_valid: false,
            timeline,
            is_uncertain: false,
        };
        let topic = shared.protocol.topics.terms;
        let Append::Done(topic_end) = store
            .append(topic, Some(topic_end), &[term.record()?])
            .await?
        else {
            bail!("another host took the lease");
        };
        let earlier_lease_until = earlier_lease_until(earlier, &term, renewed_at);
        let max_hold = shared.settings.borrow().bounds.max_hold;
        Ok(Rc::new(Self {
            shared: shared.clone(),
            earlier_grants_until: leader::expiry(earlier_lease_until, max_hold),
            earlier_lease_until,
            term,
            topic_end: Cell::new(topic_end),
            renewed_at: Cell::new(renewed_at),
            is_over: Cell::new(false),
        }))
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    pub(crate) fn term(&self) -> &Term {
        &self.term
    }

    /// Returns when the last grant of an earlier leader has expired.
    pub(crate) fn earlier_grants_until(&self) -> Instant {
        self.earlier_grants_until
    }

    /// Returns the time since the last successful renewal was sent.
    pub(crate) fn age(&self) -> Span {
        self.shared.now().since(self.renewed_at.get())
    }

    /// Returns whether this host may send grants and releases now.
    ///
    /// A store that was restored from a copy lacks the latest renewals, so another host may have
    /// acquired the lease since.
    pub(crate) fn is_valid(&self) -> bool {
        let is_current = self.shared.timeline.get() == Some(self.term.timeline);
        !self.is_over.get() && is_current && self.age() < LEASE_TTL
    }

    /// Ends the lease on this host, without a record in the store.
    pub(crate) fn revoke(&self) {
        self.is_over.set(true);
    }

    /// Renews the lease periodically until it is revoked on this host or taken by another.
    pub(crate) async fn renew_until_over(self: Rc<Self>) -> Result<()> {
        let mut store = Store::new(self.shared.clone());
        let record = [self.term.record()?];
        let mut delay = RENEWAL_INTERVAL;
        loop {
            sleep(delay).await;
            if self.is_over.get() {
                return Ok(());
            }
            delay = match self.renew(&mut store, &record).await {
                Ok(true) => RENEWAL_INTERVAL,
                Ok(false) => RETRY_DELAY,
                Err(error) => {
                    log::warn!(error = format!("{error:#}"); "leader lease not renewed; retrying");
                    RETRY_DELAY
                }
            };
        }
    }

    /// Appends the lease's record again. Returns whether the lease was renewed.
    async fn renew(&self, store: &mut Store, record: &[Draft]) -> Result<bool> {
        let topic = self.shared.protocol.topics.terms;
        let sent = self.shared.now();
        match store
            .append(topic, Some(self.topic_end.get()), record)
            .await?
        {
            Append::Done(end) => {
                self.topic_end.set(end);
                self.renewed_at.set(sent);
                Ok(true)
            }
            Append::Conflict(end) => {
                // The conflicting record may be this host's own: a renewal that was not answered
                // may still have been written.
                let (term, _) = read(&self.shared, store).await?;
                if term.as_ref() != Some(&self.term) {
                    self.revoke();
                    bail!("another host took the lease");
                }
                self.topic_end.set(end);
                Ok(false)
            }
            Append::Refused => Ok(false),
        }
    }

    /// Records in the store that this host sends no more grants and releases, so that the next
    /// leader need not wait for the lease to expire. It waits if the lease before this one may last.
    pub(crate) async fn release(&self, store: &mut Store) -> Result<()> {
        let term = Term {
            is_over: true,
            is_earlier_valid: self.shared.now() < self.earlier_lease_until,
            ..self.term.clone()
        };
        let topic = self.shared.protocol.topics.terms;
        let at = Some(self.topic_end.get());
        store.append(topic, at, &[term.record()?]).await.map(drop)
    }
}

/// Returns the highest number of a term that this host knows, since the record in the store may be
/// missing.
fn latest_number(shared: &Shared, stored: Option<&Term>, timeline: Timeline) -> u64 {
    let (known_timeline, known) = shared.latest_term.get();
    let known = if known_timeline == timeline { known } else { 0 };
    stored.map_or(0, |term| term.number).max(known)
}

/// Returns when the lease of an earlier leader that did not release it has expired.
fn earlier_lease_until(earlier: Option<Term>, term: &Term, now: Instant) -> Instant {
    // A lease that was acquired before the store was restored may be missing from the store.
    let known = earlier.filter(|earlier| earlier.timeline == term.timeline);
    match known {
        Some(known) if known.is_over && !known.is_earlier_valid => now,
        // Also if it was this host: the leader before that one may still have its lease.
        _ => now + LEASE_TTL.scale(100 + DRIFT_PERCENT, 100),
    }
}

async fn read(shared: &Shared, store: &mut Store) -> Result<(Option<Term>, Offset)> {
    let (records, end) = store.newest(shared.protocol.topics.terms).await?;
    let record = records.into_iter().find(|record| record.key == TERM_KEY);
    let value = record.and_then(|record| record.value);
    let term = value.and_then(|value| Term::decode(&value));
    Ok((term, end))
}
