//! Tasks that follow the topics of the platform's store.

use std::{rc::Rc, time::Duration};

use anyhow::Result;
use ragwortrill_core::{
    number::Offset,
    time::{Instant, Span},
};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{apply::apply, protocol::Read, settings::Bounds, shared::Shared, store::Store};

/// Longest wait of a read for a new record. A silent connection is noticed soon after.
const WAIT: Span = Span::from_millis(2_000);
/// The same for the operators' topic. A read tells that nothing is new only when it ends, and other
/// hosts rely on that for less than the bound of a configuration.
const OPERATORS_WAIT: Span = Span::from_millis(600);
/// Pause of the leader between two reads of the targets' entries, which change with every
/// heartbeat. It plans moves by them and tells the other hosts.
const LEADERS_TARGETS_PAUSE: Duration = Duration::from_millis(300);
/// The same of another host, which reads only while the leader tells nothing.
const TARGETS_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two reads of the ownership topic until a host leads. All hosts register at that
/// time, and a read that waits would end with each of them.
const GATHERING_PAUSE: Duration = Duration::from_millis(500);
/// Pause of the leader between two reads of the ownership topic. It knows what it wrote itself;
/// others write when hosts start and end.
const LEADERS_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after a failed call. It doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed call while another topic's task looks for the store's return. The store may
/// be down in part, so the topic is tried by itself too.
const PROBED_PAUSE: Duration = Duration::from_millis(1_000);
/// Age up to which what the leader tells replaces an own read that would wait for news.
const WAITING_AGE: Span = Span::from_millis(4_300);
/// Pause between two looks at whether the leader still tells what is new.
const RELAY_LOOK: Duration = Duration::from_millis(150);

/// Age of an answer of the store when it is read.
const ANSWER_AGE: Span = Span::from_millis(20);

/// A topic that hosts follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Subject {
    /// The operators' configuration and commands.
    Operators,
    /// Entries of targets.
    Targets,
    /// Assignments of keys and the hosts of the system.
    Ownership,
}

impl Subject {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Ownership];

    /// Returns the name for metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Ownership => "ownership",
        }
    }

    fn topic(self, shared: &Shared) -> &'static str {
        let topics = &shared.protocol.topics;
        match self {
            Self::Operators => topics.operators,
            Self::Targets => topics.targets,
            Self::Ownership => topics.ownership,
        }
    }

    /// Returns how long a read waits. Targets change so often that a read would never wait.
    fn wait(self) -> Span {
        match self {
            Self::Targets => Span::ZERO,
            Self::Operators => OPERATORS_WAIT,
            Self::Ownership => WAIT,
        }
    }

    /// Tells whether reads do not wait for news, since each would end with a record that this host
    /// wrote, or that other hosts write at the same time.
    fn is_polled(self, shared: &Shared) -> bool {
        self == Self::Ownership && (shared.leader.borrow().is_none() || shared.is_leading.get())
    }

    /// Returns the age up to which what the leader tells replaces an own read.
    fn most_age(self, shared: &Shared) -> Span {
        let bounds = &shared.settings.borrow().bounds;
        match self {
            Self::Targets => Bounds::max_relay_age(bounds.drain),
            Self::Operators => Bounds::max_relay_age(bounds.config_apply),
            Self::Ownership => WAITING_AGE,
        }
    }
}

/// Follows a topic, by reading it or by what the leader tells.
pub(crate) async fn follow(shared: Rc<Shared>, subject: Subject) {
    let mut store = Store::new(shared.clone());
    let mut backoff = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        if is_told(&shared, subject) {
            shared.lost.borrow_mut().remove(&subject);
            sleep(RELAY_LOOK).await;
            if subject == Subject::Targets {
                expire(&shared);
            }
            continue;
        }
        // A read that waits would hide the store's return for as long.
        let wait = match is_lost || subject.is_polled(&shared) {
            true => Span::ZERO,
            false => subject.wait(),
        };
        let outcome = step(&shared, &mut store, subject, wait).await;
        note_store(&shared, outcome.is_ok());
        let topic = subject.topic(&shared);
        match outcome {
            Ok(()) => {
                if is_lost {
                    log::info!(topic = topic; "store regained");
                }
                is_lost = false;
                backoff = FIRST_PAUSE;
                shared.lost.borrow_mut().remove(&subject);
                shared.store_returned.notify_waiters();
                match subject {
                    Subject::Targets => pause(&shared).await,
                    Subject::Ownership if shared.is_leading.get() => sleep(LEADERS_PAUSE).await,
                    Subject::Ownership if subject.is_polled(&shared) => {
                        sleep(GATHERING_PAUSE).await;
                    }
                    _ => {}
                }
            }
            Err(error) => {
                if !is_lost {
                    log::warn!(topic = topic, error = format!("{error:#}"); "store lost");
                }
                is_lost = true;
                shared.lost.borrow_mut().insert(subject);
                wait_for_store(&shared, subject, backoff).await;
                backoff = (backoff * 2).min(MOST_PAUSE);
            }
        }
    }
}

/// Waits after a failed call. One task looks for the store's return on behalf of all, so that many
/// hosts do not load a store that comes back.
async fn wait_for_store(shared: &Shared, subject: Subject, backoff: Duration) {
    let first = shared.lost.borrow().first().copied();
    match first {
        Some(first) if first != subject => {
            let _ = timeout(PROBED_PAUSE, shared.store_returned.notified()).await;
        }
        _ => sleep(backoff).await,
    }
}

/// Tells whether the leader's news of a topic are new enough.
fn is_told(shared: &Shared, subject: Subject) -> bool {
    if shared.leader.borrow().is_none() || is_leader(shared) {
        return false;
    }
    let told = shared.told.borrow();
    let read_at = told.get(&subject).copied().unwrap_or_default();
    shared.now().since(read_at) < subject.most_age(shared)
}

/// Tells whether this host leads, as far as the log says.
fn is_leader(shared: &Shared) -> bool {
    let leader = shared.leader.borrow();
    leader.as_deref() == Some(shared.settings.borrow().host.as_str())
}

/// Returns the offset from which a topic is read on.
pub(crate) fn next(shared: &Shared, subject: Subject) -> Option<Offset> {
    let mirrors = shared.mirrors.borrow();
    mirrors.get(&subject).and_then(|mirror| mirror.next())
}

/// Notes what the leader told: everything before an offset, as the store had it at a moment.
pub(crate) fn advance(shared: &Shared, subject: Subject, next: Offset, read_at: Instant) {
    let mut mirrors = shared.mirrors.borrow_mut();
    mirrors.entry(subject).or_default().advance(next, read_at);
    shared.told.borrow_mut().insert(subject, read_at);
    if subject == Subject::Targets && is_told(shared, subject) {
        note_store(shared, true);
    }
}

/// Waits until the targets' entries are read again, and removes meanwhile those that did not come
/// back in time.
async fn pause(shared: &Shared) {
    let now = shared.now();
    let expires_at = shared.fleet.borrow().expires_at();
    let left = expires_at.map(|at| at.since(now).as_duration());
    let pause = match is_leader(shared) {
        true => LEADERS_TARGETS_PAUSE,
        false => TARGETS_PAUSE,
    };
    let Some(left) = left.filter(|left| *left < pause) else {
        return sleep(pause).await;
    };
    sleep(left).await;
    expire(shared);
    sleep(pause - left).await;
}

/// Reads a topic once.
async fn step(shared: &Rc<Shared>, store: &mut Store, subject: Subject, wait: Span) -> Result<()> {
    let topic = subject.topic(shared);
    let sent = shared.now();
    let Some(from) = next(shared, subject) else {
        let (records, next) = store.newest(topic).await?;
        apply(shared, subject, records, true);
        let mut mirrors = shared.mirrors.borrow_mut();
        mirrors.entry(subject).or_default().advance(next, sent);
        return Ok(());
    };
    match store.read(topic, from, wait).await? {
        Read::Records(records, next) => {
            let read_at = shared.now() - ANSWER_AGE;
            apply(shared, subject, records, false);
            let mut mirrors = shared.mirrors.borrow_mut();
            mirrors
                .entry(subject)
                .or_default()
                .advance(next, read_at.max(sent));
        }
        Read::Expired => {
            log::info!(topic = topic, from = from.0; "records have expired; the newest are read");
            let mut mirrors = shared.mirrors.borrow_mut();
            mirrors.entry(subject).or_default().forget();
        }
    }
    Ok(())
}

/// Notes whether the store answered. Entries that lapse while it does not may come back.
fn note_store(shared: &Shared, answered: bool) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    match answered {
        true => fleet.store_answered(now),
        false => fleet.store_failed(now),
    }
    drop(fleet);
    expire(shared);
}

fn expire(shared: &Shared) {
    let now = shared.now();
    for id in shared.fleet.borrow_mut().expire(now) {
        log::info!(target = id.as_str(); "target did not come back after the store's outage");
    }
}
