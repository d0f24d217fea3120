//! State that the tasks of a host share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use ragwortrill_core::{
    name,
    retry::Budget,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::Assignment,
    breaker::Breaker,
    config::Config,
    crash::{Aggregator, Observer},
    fleet::Fleet,
    load::Load,
    queue::{Queue, Ticket},
    rate::Rate,
    registration::Incarnation,
    share::Share,
    traffic::Traffic,
};
use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    clock::Clock, follow::Subject, metrics::Metrics, mirror::Mirror, place::Waiter, pool::Pool,
    protocol::Protocol, settings::Settings,
};

/// State of a host.
pub(crate) struct Shared {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) protocol: Protocol,
    pub(crate) clock: Clock,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) assignments: RefCell<BTreeMap<name::Service, Assignment>>,
    /// Hosts of the system, as they registered in the log, with their addresses for each other.
    pub(crate) hosts: RefCell<BTreeMap<String, Host>>,
    /// Host that leads, as the log says.
    pub(crate) leader: RefCell<Option<String>>,
    /// Whether this host holds the lease and orders grants.
    pub(crate) is_leading: Cell<bool>,
    /// What is known of the topics.
    pub(crate) mirrors: RefCell<BTreeMap<Subject, Mirror>>,
    /// Topics whose last read failed, and the notice that the store answers again.
    pub(crate) lost: RefCell<BTreeSet<Subject>>,
    pub(crate) store_returned: Notify,
    /// Up to which moment the leader told what is new in a topic.
    pub(crate) told: RefCell<BTreeMap<Subject, Instant>>,
    pub(crate) peers: RefCell<BTreeMap<Incarnation, Peer>>,
    pub(crate) heat: RefCell<BTreeMap<name::Service, Traffic>>,
    /// Requests that were in flight at crashes, as this host saw it and as the leader judges it.
    pub(crate) crashes_seen: RefCell<Observer>,
    pub(crate) crashes_merged: RefCell<Aggregator>,
    pub(crate) budgets: RefCell<BTreeMap<name::Service, (Share, Budget)>>,
    pub(crate) metrics: Metrics,
    pub(crate) random: RefCell<SmallRng>,
    /// Requests that wait for a place, and what each needs.
    pub(crate) queue: RefCell<Queue>,
    pub(crate) waiters: RefCell<BTreeMap<Ticket, Waiter>>,
    /// Notified when a request begins to wait.
    pub(crate) queued: Notify,
    /// Notified when the store has news for the other hosts that can't wait.
    pub(crate) news: Notify,
    /// Whether free places are being given to waiting requests.
    pub(crate) is_serving: Cell<bool>,
    /// Whether the host takes part in a planned stop.
    pub(crate) is_stopping: Cell<bool>,
    /// Whether requests are refused that would have to wait.
    pub(crate) refuses_waiting: Cell<bool>,
    /// Whether idle connections of callers are closed, and the notice of it.
    pub(crate) is_closing: Cell<bool>,
    pub(crate) closing: Notify,
    /// Whether the first listing of the targets has been read.
    pub(crate) knows_targets: Cell<bool>,
    /// Open connections of callers.
    pub(crate) callers: Cell<u32>,
    /// Requests that have no answer yet.
    pub(crate) requests: Cell<u32>,
}

/// What a host says of itself in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Host {
    /// Address for the other hosts.
    pub(crate) address: Option<SocketAddr>,
    /// Processor time, in percent of a core.
    pub(crate) processor_percent: u32,
}

/// What a host keeps of one life of a target.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) load: Load,
    pub(crate) breaker: Breaker,
    pub(crate) cold: Rate,
    pub(crate) pool: Pool,
}

impl Peer {
    fn new(now: Instant) -> Self {
        Self {
            load: Load::default(),
            breaker: Breaker::default(),
            cold: Rate::new(now, 1.0),
            pool: Pool::default(),
        }
    }
}

impl Shared {
    pub(crate) fn new(settings: Settings, protocol: Protocol) -> anyhow::Result<Self> {
        let metrics = Metrics::new()?;
        Ok(Self {
            settings: RefCell::new(settings),
            protocol,
            clock: Clock::start(),
            config: RefCell::default(),
            fleet: RefCell::default(),
            assignments: RefCell::default(),
            hosts: RefCell::default(),
            leader: RefCell::default(),
            is_leading: Cell::new(false),
            mirrors: RefCell::default(),
            lost: RefCell::default(),
            store_returned: Notify::new(),
            told: RefCell::default(),
            peers: RefCell::default(),
            heat: RefCell::default(),
            crashes_seen: RefCell::default(),
            crashes_merged: RefCell::default(),
            budgets: RefCell::default(),
            metrics,
            random: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            queued: Notify::new(),
            news: Notify::new(),
            is_serving: Cell::new(false),
            is_stopping: Cell::new(false),
            refuses_waiting: Cell::new(false),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            knows_targets: Cell::new(false),
            callers: Cell::new(0),
            requests: Cell::new(0),
        })
    }

    /// Returns the current moment.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Calls a function with what is kept of a target.
    pub(crate) fn with_peer<T>(&self, life: &Incarnation, f: impl FnOnce(&mut Peer) -> T) -> T {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get_mut(life) {
            return f(peer);
        }
        f(peers
            .entry(life.clone())
            .or_insert_with(|| Peer::new(self.clock.now())))
    }

    /// Returns the age of the view of the targets.
    pub(crate) fn view_age(&self, now: Instant) -> Span {
        let mirrors = self.mirrors.borrow();
        let read_at = mirrors.get(&Subject::Targets).map(Mirror::read_at);
        now.since(read_at.unwrap_or_default())
    }

    /// Returns this host's share of limits that hold for all hosts.
    pub(crate) fn share(&self) -> Share {
        Share::among(self.hosts.borrow().len())
    }

    /// Takes one retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &name::Service) -> bool {
        self.with_budget(service, Budget::withdraw)
    }

    /// Notes a request of a service, from which its retry budget grows.
    pub(crate) fn note_request(&self, service: &name::Service) {
        self.with_budget(service, Budget::deposit);
    }

    fn with_budget<T>(&self, service: &name::Service, f: impl FnOnce(&mut Budget) -> T) -> T {
        let share = self.share();
        let mut budgets = self.budgets.borrow_mut();
        let known = budgets.get(service).map(|(known, _)| *known);
        if known != Some(share) {
            let bounds = &self.settings.borrow().bounds;
            // Half of the slack is left for retries that hosts count in different windows.
            let slack = share.of(bounds.retry_slack / 2.0);
            let percent = (bounds.retry_ratio * 100.0 * RETRY_MARGIN) as u32;
            let budget = Budget::new(percent, (slack as u32).max(1));
            // Only the first bucket is full: one for each change would break the bound.
            let budget = if known.is_none() {
                budget.filled()
            } else {
                budget
            };
            budgets.insert(service.clone(), (share, budget));
        }
        let entry = budgets.entry(service.clone());
        let (_, budget) = entry.or_insert_with(|| (share, Budget::new(0, 0)));
        f(budget)
    }

    /// Tells whether the host can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.knows_targets.get() && !self.is_stopping.get()
    }
}

/// Part of the allowed retries that is used, so that uneven hosts stay under the sum.
const RETRY_MARGIN: f64 = 0.75;
