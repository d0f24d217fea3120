//! The host that this one reports to, and when this host reads the store itself beside it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{
    fallback,
    tree::{Candidate, Parent, Role, Tree},
};
use rand::RngExt;
use tokio::time::sleep;

use crate::{
    follow::{self, Topic},
    shared::Shared,
};

/// Time for which a relay that did not answer is left out.
const LOST_TIME: Span = Span::from_secs(10);
/// Time from its start in which a host learns from the store who relays, before it reads other topics.
/// The list of hosts takes long when all hosts start at once.
const DISCOVERY_TIME: Span = Span::from_millis(2_000);
/// The same time at the first start of all hosts, in which they register.
const FIRST_DISCOVERY_TIME: Span = Span::from_millis(1_500);
/// Interval between two checks whether the other hosts are known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(5);
/// Time after that in which a host that reports to a relay waits for its first lists.
const FIRST_LIST_TIME: Span = Span::from_millis(2_000);
/// Time for which an answer shows that a host which may lead is alive.
const LIVENESS_TTL: Span = Span::from_secs(3);

/// What this host knows of the host that it reports to.
pub(crate) struct Uplink {
    started_at: Instant,
    /// The tree of the known hosts; none after the list has changed.
    tree: RefCell<Option<Rc<Tree>>>,
    /// Relays that did not answer, with the time until which they are left out.
    lost: RefCell<BTreeMap<String, Instant>>,
    /// Version of the leader's verdicts that this host has.
    verdicts: Cell<u64>,
    answered_at: Cell<Option<Instant>>,
    /// When this host last had an answer to its reports, or nobody to report to.
    connected_at: Cell<Instant>,
    /// Whether the last answer stated that the store does not answer that host either.
    states_outage: Cell<bool>,
    /// Whether this host has read who the other hosts are.
    knows_hosts: Cell<bool>,
}

/// A host to which this one reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) host: String,
    pub(crate) address: SocketAddr,
    /// Whether it passes the reports on to the leader.
    pub(crate) is_relay: bool,
}

impl Uplink {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            tree: RefCell::default(),
            lost: RefCell::default(),
            verdicts: Cell::default(),
            answered_at: Cell::default(),
            connected_at: Cell::new(now),
            states_outage: Cell::default(),
            knows_hosts: Cell::default(),
        }
    }

    /// Returns whether this host has read who the other hosts are.
    pub(crate) fn knows_hosts(&self) -> bool {
        self.knows_hosts.get()
    }

    /// Records that this host has read who the other hosts are. Their records come first in a list.
    pub(crate) fn record_hosts(&self) {
        self.knows_hosts.set(true);
    }

    /// Records that the list of hosts has changed.
    pub(crate) fn hosts_changed(&self) {
        self.tree.take();
    }

    /// Records an answer, whether it states that the store does not answer, and the version of the
    /// verdicts in it.
    pub(crate) fn record_answer(&self, now: Instant, states_outage: bool, verdicts: u64) {
        self.answered_at.set(Some(now));
        self.connected_at.set(now);
        self.states_outage.set(states_outage);
        self.verdicts.set(verdicts);
    }

    /// Records that a relay did not answer.
    pub(crate) fn record_lost(&self, now: Instant, relay: &str) {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|_, until| *until > now);
        lost.insert(relay.to_owned(), now + LOST_TIME);
    }

    /// Records that there is no other host to report to.
    pub(crate) fn record_root(&self, now: Instant) {
        self.connected_at.set(now);
    }

    /// Returns whether this host's reports have had no answer for a time.
    pub(crate) fn is_cut_off(&self, now: Instant) -> bool {
        now.since(self.connected_at.get()) >= LIVENESS_TTL
    }

    /// Returns the version of the leader's verdicts that this host has.
    pub(crate) fn verdicts(&self) -> u64 {
        self.verdicts.get()
    }

    /// Returns whether a host that may lead has answered recently.
    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        let answered_at = self.answered_at.get();
        answered_at.is_some_and(|at| now.since(at) < LIVENESS_TTL)
    }

    fn is_lost(&self, now: Instant, relay: &str) -> bool {
        let lost = self.lost.borrow();
        lost.get(relay).is_some_and(|until| *until > now)
    }
}

/// Returns the tree of the known hosts.
pub(crate) fn tree(shared: &Shared) -> Rc<Tree> {
    let mut tree = shared.uplink.tree.borrow_mut();
    tree.get_or_insert_with(|| Rc::new(build(shared))).clone()
}

fn build(shared: &Shared) -> Tree {
    let hosts = shared.hosts.borrow();
    let relaying = hosts.iter().filter(|(_, host)| host.relays);
    let candidates = relaying.map(|(name, host)| Candidate {
        host: name.clone(),
        data_centre: host.data_centre.clone(),
        processor_percent: host.processor_percent,
        link_mbps: host.link_mbps,
    });
    Tree::new(candidates.collect(), shared.settings.borrow().tree)
}

/// Returns the part of this host in the tree.
pub(crate) fn role(shared: &Shared) -> Role {
    tree(shared).role(shared.settings.borrow().host.as_str())
}

/// Returns the host to which this one reports; none if it leads, or no host does and it is no relay's.
pub(crate) fn peer(shared: &Shared) -> Option<Peer> {
    let now = shared.now();
    let own = shared.settings.borrow().host.to_string();
    let leader = shared.leader.borrow().clone();
    if leader.as_ref() == Some(&own) {
        return None;
    }
    let hosts = shared.hosts.borrow();
    let address = |host: &str| hosts.get(host).and_then(|known| known.address);
    let tree = tree(shared);
    let is_lost = |relay: &str| shared.uplink.is_lost(now, relay) || address(relay).is_none();
    let (host, is_relay) = match tree.parent(&own, is_lost) {
        Parent::Relay(relay) => (relay.to_owned(), true),
        Parent::Leader => (leader?, false),
    };
    let address = address(&host)?;
    Some(Peer {
        host,
        address,
        is_relay,
    })
}

/// Returns the address of the leader, if another host leads.
pub(crate) fn leader_address(shared: &Shared) -> Option<SocketAddr> {
    let leader = shared.leader.borrow().clone()?;
    let is_own = leader == shared.settings.borrow().host.to_string();
    let hosts = shared.hosts.borrow();
    let leader = hosts.get(&leader).filter(|_| !is_own);
    leader.and_then(|known| known.address)
}

/// Leaves out a relay that is cut off, if another relay is left. Otherwise, this host stays with it:
/// all of them are cut off while no host leads.
pub(crate) fn leave_relay(shared: &Shared, relay: &str) {
    let now = shared.now();
    let own = shared.settings.borrow().host.to_string();
    let is_usable = |other: &str| other != relay && !shared.uplink.is_lost(now, other);
    if tree(shared).relays_of(&own).any(is_usable) {
        shared.uplink.record_lost(now, relay);
        log::info!(host = relay; "relay is cut off from the leader and the store; another one replaces it");
    }
}

/// Returns the number of hosts that report to a host.
pub(crate) fn reporters(shared: &Shared, host: &str) -> usize {
    let is_leader = shared.leader.borrow().as_deref() == Some(host);
    let others = shared.hosts.borrow();
    let others = others.values().filter(|host| !host.relays).count();
    tree(shared).reporters(host, is_leader) + if is_leader { others } else { 0 }
}

/// Waits until the list of hosts has been read, or a read of it has failed, for `DISCOVERY_TIME` after
/// the start at most.
pub(crate) async fn read_hosts(shared: &Shared) {
    let lacks_list = || {
        let has_failed = shared.failed_topics.borrow().contains(&Topic::Ownership);
        !has_failed && !shared.uplink.knows_hosts()
    };
    while lacks_list() && age(shared) < DISCOVERY_TIME {
        sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Waits until this host knows the other ones, as far as it can. At the first start they still register.
pub(crate) async fn discover(shared: &Shared) {
    if shared.settings.borrow().is_first_start {
        sleep(FIRST_DISCOVERY_TIME.as_duration()).await;
    }
    read_hosts(shared).await;
}

/// Returns the time since this host started.
fn age(shared: &Shared) -> Span {
    shared.now().since(shared.uplink.started_at)
}

/// Returns whether a topic is not to be read from the store yet: the relay that this host reports to has
/// it, or the store answers neither that relay nor this host, and other hosts take their turn.
pub(crate) fn defers_read(shared: &Shared, topic: Topic) -> bool {
    let now = shared.now();
    if role(shared) != Role::Leaf || peer(shared).is_none_or(|peer| !peer.is_relay) {
        return false;
    }
    let is_first = follow::next_offset(shared, topic).is_none();
    let discovery_time = match shared.settings.borrow().is_first_start {
        true => FIRST_DISCOVERY_TIME,
        false => Span::ZERO,
    };
    let waits_for_lists = age(shared) < discovery_time + DISCOVERY_TIME + FIRST_LIST_TIME;
    if is_first && waits_for_lists {
        return true;
    }
    let interval = fallback::outage_interval(shared.hosts.borrow().len());
    let mut fallback = shared.fallback.borrow_mut();
    let states_outage = shared.uplink.is_alive(now) && shared.uplink.states_outage.get();
    fallback.waits_for_turn(now, interval, states_outage)
}

/// Records whether the store answered an own read of this host.
pub(crate) fn record_read(shared: &Shared, is_answered: bool) {
    if is_answered {
        return shared.fallback.borrow_mut().read_answered();
    }
    let interval = fallback::outage_interval(shared.hosts.borrow().len());
    // The hosts' next turns are spread over the interval.
    let delay = shared.random.borrow_mut().random_range(0..=interval.0);
    let mut fallback = shared.fallback.borrow_mut();
    fallback.read_failed(shared.now(), Span(delay));
}
