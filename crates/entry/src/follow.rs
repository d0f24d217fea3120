//! Tasks that keep this host's replicas of the store's topics up to date.

use std::{rc::Rc, time::Duration};

use anyhow::Result;
use ragwortrill_core::{
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::{fallback, tree::Role};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{apply, crash, protocol::Read, settings::Bounds, shared::Shared, store::Store, uplink};

/// Longest time for which a read of the ownership topic waits for a new record. A dead connection
/// is noticed soon after, by the read's timeout.
const OWNERSHIP_WAIT: Span = Span::from_millis(2_000);
/// Longest time for which a read of the operators' topic waits for a new record. A read that finds
/// none confirms the topic's state only when it returns, and other hosts rely on the leader's reads
/// for less than the time within which a configuration must become effective.
const OPERATORS_WAIT: Span = Span::from_millis(600);
/// Interval at which the leader reads the targets' entries, which change with every heartbeat. It
/// plans moves by them and relays them to the other hosts.
const LEADER_TARGETS_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which other hosts read the targets' entries. They do so only while the leader relays
/// nothing.
const TARGETS_INTERVAL: Duration = Duration::from_millis(600);
/// Interval between reads of the ownership topic while no host leads. All hosts register at that
/// time, and each registration would end a read that waits.
const LEADERLESS_OWNERSHIP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the leader reads the ownership topic. It applies its own records when it
/// writes them; others write only when hosts start and stop.
const LEADER_OWNERSHIP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Backoff after the first failed call. It doubles with each further failure, up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// Interval between retries of a topic while another topic's task probes the store. The store may
/// be down for some topics only, so each is still retried on its own.
const PROBED_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age up to which the leader's relayed records of the ownership topic replace this host's own
/// reads, which would wait for new records.
const MAX_OWNERSHIP_RELAY_AGE: Span = Span::from_millis(4_300);
/// Age from which this host's copy of the ownership topic counts as outdated.
const MAX_OWNERSHIP_AGE: Span = Span::from_millis(5_000);
/// Interval between two checks whether the leader's relayed records are recent enough.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two checks whether a topic is still not to be read.
const DEFERRED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Assumed age of a response of the store when it arrives.
const RESPONSE_AGE: Span = Span::from_millis(20);

/// A topic that hosts follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// The operators' configuration and commands.
    Operators,
    /// Entries of targets.
    Targets,
    /// Assignments of keys, registered hosts and quarantined requests.
    Ownership,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Ownership];

    /// Returns the label of the topic in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Ownership => "ownership",
        }
    }

    fn store_name(self, shared: &Shared) -> &'static str {
        let topics = &shared.protocol.topics;
        match self {
            Self::Operators => topics.operators,
            Self::Targets => topics.targets,
            Self::Ownership => topics.ownership,
        }
    }

    /// Returns how long a read waits for a new record. Targets' entries change so often that a read
    /// would never wait.
    fn read_wait(self) -> Span {
        match self {
            Self::Targets => Span::ZERO,
            Self::Operators => OPERATORS_WAIT,
            Self::Ownership => OWNERSHIP_WAIT,
        }
    }

    /// Returns whether the topic is polled instead of read with a wait. The ownership topic is
    /// polled while this host leads, since its own records would end each read, and while no host
    /// leads, since all hosts register at that time.
    fn is_polled(self, shared: &Shared) -> bool {
        self == Self::Ownership && (shared.leader.borrow().is_none() || shared.is_leading.get())
    }

    /// Returns the age that this host's copy of the topic must not exceed.
    fn max_age(self, shared: &Shared) -> Span {
        let bounds = &shared.settings.borrow().bounds;
        match self {
            Self::Targets => bounds.drain,
            Self::Operators => bounds.config_apply,
            Self::Ownership => MAX_OWNERSHIP_AGE,
        }
    }

    /// Returns the age up to which the leader's relayed records replace this host's own reads.
    fn max_relay_age(self, shared: &Shared) -> Span {
        let bound = self.max_age(shared);
        let is_relay = uplink::role(shared) == Role::Relay;
        let of_host = match self {
            Self::Ownership if !is_relay => return MAX_OWNERSHIP_RELAY_AGE,
            Self::Ownership => MAX_OWNERSHIP_RELAY_AGE,
            _ => Bounds::max_relay_age(bound),
        };
        let usual = fallback::usual_relay_age(of_host, is_relay);
        let fallback = shared.fallback.borrow();
        fallback.max_relay_age(shared.now(), shared.recent_lag(), bound, usual)
    }
}

/// Follows a topic: reads it from the store unless the leader's relayed records are recent enough.
pub(crate) async fn follow(shared: Rc<Shared>, topic: Topic) {
    let mut store = Store::new(shared.clone());
    let mut backoff = MIN_BACKOFF;
    let mut is_failing = false;
    if topic != Topic::Ownership {
        uplink::discover(&shared).await;
    }
    loop {
        if topic == Topic::Operators {
            relist_operators(&shared);
        }
        if is_relayed(&shared, topic) && next_offset(&shared, topic).is_some() {
            shared.failed_topics.borrow_mut().remove(&topic);
            sleep(RELAY_CHECK_INTERVAL).await;
            if topic == Topic::Targets {
                expire_targets(&shared);
            }
            continue;
        }
        if uplink::defers_read(&shared, topic) {
            sleep(DEFERRED_CHECK_INTERVAL).await;
            continue;
        }
        report_age(&shared, topic);
        // After a failure, a read that waits would delay the recovery by its wait. The first read in
        // place of a late relay confirms at once what is newest.
        let is_urgent = is_failing || is_due(&shared, topic);
        let wait = match is_urgent || topic.is_polled(&shared) {
            true => Span::ZERO,
            false => topic.read_wait(),
        };
        let started = shared.now();
        let outcome = read_once(&shared, &mut store, topic, wait).await;
        if outcome.is_ok() && wait == Span::ZERO {
            let now = shared.now();
            let mut fallback = shared.fallback.borrow_mut();
            fallback.record_read(now, now.since(started));
        }
        record_store_result(&shared, outcome.is_ok());
        uplink::record_read(&shared, outcome.is_ok());
        let name = topic.store_name(&shared);
        match outcome {
            Ok(()) => {
                if is_failing {
                    log::info!(topic = name; "topic is read from the store again");
                }
                is_failing = false;
                backoff = MIN_BACKOFF;
                shared.failed_topics.borrow_mut().remove(&topic);
                shared.store_recovered.notify_waiters();
                match topic {
                    // The first page of the list was read, which names the hosts.
                    Topic::Ownership if next_offset(&shared, topic).is_none() => {}
                    Topic::Targets => wait_to_poll_targets(&shared).await,
                    Topic::Ownership if shared.is_leading.get() => {
                        sleep(LEADER_OWNERSHIP_INTERVAL).await
                    }
                    Topic::Ownership if topic.is_polled(&shared) => {
                        sleep(LEADERLESS_OWNERSHIP_INTERVAL).await;
                    }
                    _ => {}
                }
            }
            Err(error) => {
                if !is_failing {
                    log::warn!(topic = name, error = format!("{error:#}"); "topic can't be read from the store; retrying");
                }
                is_failing = true;
                shared.failed_topics.borrow_mut().insert(topic);
                wait_for_store(&shared, topic, backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns the age of this host's copy of a topic; none before its first complete list.
fn age(shared: &Shared, topic: Topic) -> Option<Span> {
    let replicas = shared.replicas.borrow();
    let replica = replicas.get(&topic)?;
    replica.next_offset()?;
    Some(shared.now().since(replica.read_at()))
}

/// Returns whether the topic has to be read before a read that waits could confirm its state.
fn is_due(shared: &Shared, topic: Topic) -> bool {
    age(shared, topic).is_some_and(|age| age >= topic.max_relay_age(shared))
}

/// Logs when this host's copy of a topic gets older than it may be, and when it is recent again.
fn report_age(shared: &Shared, topic: Topic) {
    let Some(age) = age(shared, topic) else {
        return;
    };
    let is_outdated = age > topic.max_age(shared);
    let mut outdated = shared.outdated_topics.borrow_mut();
    match is_outdated {
        true if outdated.insert(topic) => {
            log::warn!(topic = topic.label(), age_ms = age.as_millis(), bound_ms = topic.max_age(shared).as_millis(); "topic was not read in time; this host acts on older records");
        }
        false if outdated.remove(&topic) => {
            log::info!(topic = topic.label(), age_ms = age.as_millis(); "topic is up to date again");
        }
        _ => {}
    }
}

/// Makes the operators' topic be listed anew once they have written again what a restore of the
/// store lost.
fn relist_operators(shared: &Shared) {
    let is_due = |at: &Instant| *at <= shared.now();
    if shared.relist_at.get().as_ref().is_some_and(is_due) {
        shared.relist_at.set(None);
        let mut replicas = shared.replicas.borrow_mut();
        replicas.entry(Topic::Operators).or_default().reset();
    }
}

/// Waits after a failed call. Only one topic's task probes the store at the short backoff, so that
/// many hosts do not overload a store that recovers.
async fn wait_for_store(shared: &Shared, topic: Topic, backoff: Duration) {
    let prober = shared.failed_topics.borrow().first().copied();
    match prober {
        Some(prober) if prober != topic => {
            let _ = timeout(PROBED_RETRY_INTERVAL, shared.store_recovered.notified()).await;
        }
        _ => sleep(backoff).await,
    }
}

/// Returns whether the relayed records of a topic are recent enough. A leader that has removed its
/// record, as it stops, relays nothing any more.
fn is_relayed(shared: &Shared, topic: Topic) -> bool {
    if uplink::peer(shared).is_none() {
        return false;
    }
    let relayed_at = shared.relayed_at.borrow();
    let read_at = relayed_at.get(&topic).copied().unwrap_or_default();
    shared.now().since(read_at) < topic.max_relay_age(shared)
}

/// Returns whether the store names this host as leader.
fn is_leader(shared: &Shared) -> bool {
    let leader = shared.leader.borrow();
    leader.as_deref() == Some(shared.settings.borrow().host.as_str())
}

/// Returns the offset of the next record to read from a topic.
pub(crate) fn next_offset(shared: &Shared, topic: Topic) -> Option<Offset> {
    let replicas = shared.replicas.borrow();
    replicas
        .get(&topic)
        .and_then(|replica| replica.next_offset())
}

/// Records that the leader has relayed all records before an offset, as the store held them at
/// `read_at`.
pub(crate) fn advance(shared: &Shared, topic: Topic, next: Offset, read_at: Instant) {
    report_age(shared, topic);
    shared.advance_replica(topic, next, read_at);
    report_age(shared, topic);
    shared.relayed_at.borrow_mut().insert(topic, read_at);
    if topic == Topic::Targets && is_relayed(shared, topic) {
        record_store_result(shared, true);
    }
}

/// Waits until the targets' entries are to be read again. Meanwhile, removes targets whose entries
/// did not return in time after an outage of the store.
async fn wait_to_poll_targets(shared: &Shared) {
    let now = shared.now();
    let expires_at = shared.fleet.borrow().expires_at();
    let left = expires_at.map(|at| at.since(now).as_duration());
    let interval = match is_leader(shared) {
        true => LEADER_TARGETS_INTERVAL,
        false => TARGETS_INTERVAL,
    };
    let Some(left) = left.filter(|left| *left < interval) else {
        return sleep(interval).await;
    };
    sleep(left).await;
    expire_targets(shared);
    sleep(interval - left).await;
}

/// Reads a topic once.
async fn read_once(shared: &Rc<Shared>, store: &mut Store, topic: Topic, wait: Span) -> Result<()> {
    let name = topic.store_name(shared);
    let sent = shared.now();
    let timeline = shared.timeline.get();
    if topic == Topic::Ownership && !shared.uplink.knows_hosts() {
        let page = store.first_page(name).await?;
        apply::apply_changes(shared, topic, page.records);
        if !page.has_more {
            shared.advance_replica(topic, page.end, sent);
        }
        shared.uplink.record_hosts();
        return Ok(());
    }
    let Some(from) = next_offset(shared, topic) else {
        let (records, next) = store.newest(name).await?;
        apply::apply_list(shared, topic, records, next);
        shared.advance_replica(topic, next, sent);
        return Ok(());
    };
    let read = store.read(name, from, wait).await?;
    if shared.timeline.get() != timeline {
        // The offset was one of the earlier timeline.
        return Ok(());
    }
    match read {
        Read::Records(records, next) => {
            // A late event loop finds the response long after it was made.
            let now = shared.now();
            let waited = now - RESPONSE_AGE - shared.lag.current(now);
            let read_at = if wait == Span::ZERO { sent } else { waited };
            apply::apply_changes(shared, topic, records);
            shared.advance_replica(topic, next, read_at.max(sent));
        }
        Read::Expired => {
            log::info!(topic = name, from = from.0; "records expired before they were read; reading the newest record of each key");
            let mut replicas = shared.replicas.borrow_mut();
            replicas.entry(topic).or_default().reset();
        }
    }
    Ok(())
}

/// Records whether the store answered. Targets whose entries vanish during an outage are kept for a
/// grace period, since the entries may return.
fn record_store_result(shared: &Shared, is_answered: bool) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    match is_answered {
        true => fleet.store_answered(now),
        false => fleet.store_failed(now),
    }
    drop(fleet);
    expire_targets(shared);
}

fn expire_targets(shared: &Shared) {
    let now = shared.now();
    let is_due = shared
        .fleet
        .borrow()
        .expires_at()
        .is_some_and(|at| at <= now);
    if !is_due {
        return;
    }
    let known = shared.fleet.borrow().targets().clone();
    let expired = shared.fleet.borrow_mut().expire(now);
    for id in expired {
        if let Some(target) = known.get(&id) {
            crash::record_end(shared, &target.registration.incarnation);
        }
        log::info!(target = id.as_str(); "target removed: its entry did not return after the store's outage");
    }
}
