//! Candidacy for leadership. The platform's group of hosts names one candidate. That is only a
//! hint: the right to act comes from the lease in the store alone.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::tree::Role;
use tokio::{sync::Notify, time::sleep};

use crate::{
    apply::HOST_PREFIX,
    connection::Connection,
    leadership,
    protocol::{Append, Draft, Member, Membership},
    reach,
    shared::{Host, Shared},
    stop::Phase,
    store::Store,
    uplink,
};

/// Time after a host's last join request at which it drops out of the group.
const GROUP_TTL: Span = Span::from_millis(2_000);
/// Interval between two join requests, which keep a host in the group.
const JOIN_INTERVAL: Duration = Duration::from_millis(600);
/// Delay before a host that is missing from the list of hosts registers again.
const REGISTRATION_RETRY_DELAY: Span = Span::from_secs(3);
/// Multiple of a host's processor time from which another host should lead in its place.
const STRONGER_FACTOR: u32 = 2;
/// Time for which a better host counts as alive after a connection to it was opened.
const LIVENESS_TTL: Span = Span::from_millis(1_500);
/// Timeout of a connection that probes whether a better host is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two checks whether this host may lead.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a host that most targets do not answer stays out of the group.
const WITHDRAWAL_TIME: Span = Span::from_secs(3);

/// Whether the group names this host as candidate, and whether the host accepts.
#[derive(Debug, Default)]
pub(crate) struct Candidacy {
    /// Whether the group names this host as candidate.
    pub(crate) is_nominated: Cell<bool>,
    /// When this host began the last join request that the group answered.
    confirmed_at: Cell<Instant>,
    /// Until when this host stays out of the group.
    withdrawn_until: Cell<Instant>,
    /// Notified when this host withdraws, so that it leaves the group at once.
    withdrawal: Notify,
}

impl Candidacy {
    /// Returns whether the host may acquire the lease.
    ///
    /// A nomination older than the group's TTL does not count: while the store was unreachable,
    /// another host may have been named. Taking the lease from a live leader stops the renewal of
    /// its grants.
    fn may_lead(&self, now: Instant) -> bool {
        self.is_nominated.get() && now.since(self.confirmed_at.get()) < GROUP_TTL
    }

    /// Makes this host leave the group for a while, so that another host is named.
    pub(crate) fn withdraw(&self, now: Instant) {
        self.is_nominated.set(false);
        self.withdrawn_until.set(now + WITHDRAWAL_TIME);
        self.withdrawal.notify_one();
    }

    /// Waits until the next join request is due, or this host must leave the group.
    async fn wait(&self, shared: &Shared) {
        let was_cut_off = reach::is_cut_off(shared);
        let changed = async {
            while reach::is_cut_off(shared) == was_cut_off {
                shared.links_changed.notified().await;
            }
        };
        tokio::select! {
            () = sleep(JOIN_INTERVAL) => {}
            () = self.withdrawal.notified() => {}
            () = changed => {}
        }
    }
}

/// Keeps the host in the group and leads while the group names it.
pub(crate) async fn run(shared: Rc<Shared>) {
    let candidate = Rc::new(Candidacy::default());
    tokio::task::spawn_local(maintain_membership(shared.clone(), candidate.clone()));
    loop {
        if candidate.may_lead(shared.now()) && !shared.stop.has_reached(Phase::Stopping) {
            let outcome = leadership::lead(&shared, &candidate).await;
            match outcome {
                Ok(()) => log::info!("leadership ended"),
                Err(error) => log::warn!(error = format!("{error:#}"); "leadership lost"),
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Keeps the host registered and in the group of hosts until it stops.
async fn maintain_membership(shared: Rc<Shared>, candidate: Rc<Candidacy>) {
    let mut store = Store::new(shared.clone());
    let host = shared.settings.borrow().host.to_string();
    let key = format!("{HOST_PREFIX}{host}");
    let topic = shared.protocol.topics.ownership;
    let own = own_record(&shared);
    let encoded = serde_json::to_string(&own).unwrap_or_default();
    let record = |value: &str| {
        [Draft {
            key: key.clone(),
            value: value.as_bytes().to_vec(),
        }]
    };
    let mut generation = 0;
    let mut is_member = false;
    let mut registered_at = None;
    let mut registered_in = None;
    let mut liveness = Liveness::default();
    uplink::read_hosts(&shared).await;
    while !shared.stop.has_reached(Phase::Stopping) {
        // An earlier process of this host removes the record when it stops, which may happen after
        // this process has registered.
        let is_known = shared.hosts.borrow().get(&host) == Some(&own);
        let now = shared.now();
        let is_due = registered_at.is_none_or(|at| now.since(at) >= REGISTRATION_RETRY_DELAY);
        // A store restored from a copy may lack the record.
        let timeline = shared.timeline.get();
        if is_known && registered_in.is_none() {
            registered_in = timeline;
        }
        let is_lost = registered_in.is_some_and(|known| timeline != Some(known));
        if !is_known && is_due || is_lost {
            let appended = store.append(topic, None, &record(&encoded)).await;
            if matches!(appended, Ok(Append::Done(_))) {
                registered_at = Some(now);
                registered_in = shared.timeline.get();
            }
        }
        let is_withdrawn = shared.now() < candidate.withdrawn_until.get();
        let stays_out =
            is_withdrawn || reach::is_cut_off(&shared) || liveness.has_better_host(&shared).await;
        let member = Member {
            name: &host,
            ttl: GROUP_TTL,
            generation,
        };
        if stays_out {
            candidate.is_nominated.set(false);
            if std::mem::take(&mut is_member) {
                leave(&mut store, &member).await;
            }
        } else if let Some(membership) = join(&mut store, &member).await {
            is_member = true;
            candidate.confirmed_at.set(now);
            generation = membership.generation;
            if candidate.is_nominated.replace(membership.is_candidate) != membership.is_candidate {
                log::info!(leads = membership.is_candidate, generation = generation; "leadership candidacy of this host changed");
            }
        }
        candidate.wait(&shared).await;
    }
    candidate.is_nominated.set(false);
    let member = Member {
        name: &host,
        ttl: GROUP_TTL,
        generation,
    };
    leave(&mut store, &member).await;
    if let Err(error) = store.append(topic, None, &record("")).await {
        log::warn!(error = format!("{error:#}"); "this host's record can't be removed from the store; other hosts still list it");
    }
}

/// Returns this host's record for the store.
fn own_record(shared: &Shared) -> Host {
    let settings = shared.settings.borrow();
    Host {
        address: settings.listen.hosts,
        forwards: settings.listen.forwards,
        compares_routes: true,
        data_centre: Some(settings.data_centre.clone()),
        processor_percent: settings.limits.processor_percent,
        link_mbps: settings.limits.link_mbps,
        relays: true,
    }
}

/// Returns the hosts of which one should lead in place of this one. With many hosts only relays lead,
/// which are the strongest ones, so that the others need no call to the group.
fn better_hosts(shared: &Shared) -> Vec<SocketAddr> {
    let hosts = shared.hosts.borrow();
    if uplink::role(shared) == Role::Leaf {
        let tree = uplink::tree(shared);
        let relays = tree.relays().filter_map(|relay| hosts.get(relay));
        return relays.filter_map(|host| host.address).collect();
    }
    let own = shared.settings.borrow().limits.processor_percent;
    let max_percent = strongest(shared);
    if max_percent < own * STRONGER_FACTOR {
        return Vec::new();
    }
    let strong = hosts
        .values()
        .filter(|host| host.processor_percent * STRONGER_FACTOR > max_percent);
    strong.filter_map(|host| host.address).collect()
}

fn strongest(shared: &Shared) -> u32 {
    let hosts = shared.hosts.borrow();
    let all = hosts.values().map(|host| host.processor_percent);
    all.max().unwrap_or_default()
}

/// Liveness of the hosts that should lead in place of this one. As long as one is alive, this host
/// stays out of the group.
#[derive(Default)]
struct Liveness {
    seen_at: Option<Instant>,
}

impl Liveness {
    async fn has_better_host(&mut self, shared: &Shared) -> bool {
        let now = shared.now();
        let hosts = better_hosts(shared);
        if hosts.is_empty() {
            return false;
        }
        let is_recent = |at: &Instant| now.since(*at) < LIVENESS_TTL;
        let reports_to_relay = uplink::role(shared) == Role::Leaf && shared.uplink.is_alive(now);
        if reports_to_relay || self.seen_at.as_ref().is_some_and(is_recent) {
            return true;
        }
        for address in hosts {
            if Connection::open(address, PROBE_TIMEOUT).await.is_ok() {
                self.seen_at = Some(now);
                return true;
            }
        }
        false
    }
}

async fn join(store: &mut Store, member: &Member<'_>) -> Option<Membership> {
    match store.join(member).await {
        Ok(membership) => Some(membership),
        Err(error) => {
            log::debug!(error = format!("{error:#}"); "join request to the group of hosts failed");
            None
        }
    }
}

async fn leave(store: &mut Store, member: &Member<'_>) {
    if let Err(error) = store.leave(member).await {
        log::warn!(error = format!("{error:#}"); "request to leave the group of hosts failed; membership ends with its TTL");
    }
}
