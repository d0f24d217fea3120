//! State that the tasks of a host share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use ragwortrill_core::{
    bucket::Bucket,
    name,
    number::{Offset, Timeline},
    pause::Pause,
    rate_limit::Limit,
    request::Fingerprint,
    retry::Budget,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::Assignment,
    breaker::Breaker,
    config::Config,
    crash::{Aggregator, Observer},
    fallback::Fallback,
    fleet::Fleet,
    links::Links,
    load::Load,
    pace::{Pace, Turns},
    queue::{Queue, Ticket},
    registration::Incarnation,
    restart::{Bounds, Detector},
    retention::Retention,
    share::Share,
    survey::Schedule,
    traffic::Traffic,
};
use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex, Notify};

use crate::{
    activity::Register,
    admission::Waiter,
    clock::Clock,
    follow::Topic,
    hop::Helper,
    lag::Lag,
    lease::Rank,
    metrics::Metrics,
    occupancy::{self, Level},
    pool::Pool,
    probe::Probe,
    protocol::{Protocol, Record},
    replica::Replica,
    settings::Settings,
    stop::{Phase, Progress},
    survey::Refresh,
    tally::Tally,
    uplink::Uplink,
};

/// State of a host.
pub(crate) struct Shared {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) protocol: Protocol,
    pub(crate) clock: Clock,
    /// How late the event loop is.
    pub(crate) lag: Lag,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// When this host activated its configuration.
    pub(crate) configured_at: Cell<Instant>,
    /// Services that the configurations have named since this process started.
    pub(crate) named_services: RefCell<BTreeSet<name::Service>>,
    pub(crate) fleet: RefCell<Fleet>,
    /// Latest entries of targets whose service no configuration has named, by the targets' ids.
    pub(crate) unnamed_entries: RefCell<BTreeMap<name::Target, Record>>,
    pub(crate) assignments: RefCell<BTreeMap<name::Service, Assignment>>,
    /// Hosts of the system, as they registered in the log, with their addresses for each other.
    pub(crate) hosts: RefCell<BTreeMap<String, Host>>,
    /// Host that the store names as leader.
    pub(crate) leader: RefCell<Option<String>>,
    /// Last leader that removed its record, and its address, at which it answers until its process
    /// ends.
    pub(crate) stopped_leader: RefCell<Option<(String, SocketAddr)>>,
    /// Rank of the latest term that the store named.
    pub(crate) latest_term: Cell<Rank>,
    /// Rank of the last term in which this process led, so that it knows all ranges of that time.
    pub(crate) led_term: Cell<Rank>,
    /// Whether this host leads: it has acquired the lease and sends grants.
    pub(crate) is_leading: Cell<bool>,
    /// Copies of the store's topics.
    pub(crate) replicas: RefCell<BTreeMap<Topic, Replica>>,
    /// Topics whose last read failed.
    pub(crate) failed_topics: RefCell<BTreeSet<Topic>>,
    /// Latest timeline of the store; none before its first response.
    pub(crate) timeline: Cell<Option<Timeline>>,
    /// When the operators' topic is to be listed again after a restore of the store.
    pub(crate) relist_at: Cell<Option<Instant>>,
    /// Notified when a read of the store succeeds.
    pub(crate) store_recovered: Notify,
    /// Time as of which the leader's relayed records of a topic are up to date.
    pub(crate) relayed_at: RefCell<BTreeMap<Topic, Instant>>,
    /// The host that this one reports to.
    pub(crate) uplink: Uplink,
    /// When this host reads the store itself although another host leads.
    pub(crate) fallback: RefCell<Fallback>,
    /// Topics of which this host's copy was found older than it may be.
    pub(crate) outdated_topics: RefCell<BTreeSet<Topic>>,
    pub(crate) endpoints: RefCell<BTreeMap<Incarnation, Endpoint>>,
    pub(crate) traffic: RefCell<BTreeMap<name::Service, Traffic>>,
    /// Crashes of targets that this host observed, with the requests that were in flight.
    pub(crate) crash_observer: RefCell<Observer>,
    /// The observed crashes of all hosts, from which the leader quarantines requests.
    pub(crate) crash_aggregator: RefCell<Aggregator>,
    /// Fingerprints of which a request asks for a trial at this host, or runs in one.
    pub(crate) trials: RefCell<BTreeSet<Fingerprint>>,
    /// Lost links of this host to targets.
    pub(crate) links: RefCell<Links>,
    /// Notified when a link is lost or found again.
    pub(crate) links_changed: Notify,
    /// Order and rate of the surveys of targets that this host can't reach.
    pub(crate) surveys: RefCell<Schedule>,
    /// Notified when a survey ends or has to wait.
    pub(crate) surveys_changed: Notify,
    /// Probes of targets under way.
    pub(crate) probes: RefCell<BTreeMap<Incarnation, Probe>>,
    /// Turns of the probes that other hosts ask for.
    pub(crate) probe_turns: RefCell<Turns>,
    /// Search for helping hosts under way.
    pub(crate) refresh: RefCell<Option<Refresh>>,
    /// When helping hosts were last searched.
    pub(crate) refreshed_at: Cell<Instant>,
    /// Notified when waiting requests may have to go through another host.
    pub(crate) reroute_due: Notify,
    /// Hosts that reach targets to which this host has lost its links.
    pub(crate) helpers: RefCell<BTreeMap<String, Helper>>,
    pub(crate) budgets: RefCell<BTreeMap<name::Service, (Share, Budget)>>,
    pub(crate) metrics: Metrics,
    pub(crate) random: RefCell<SmallRng>,
    /// Order of the requests that wait for a target.
    pub(crate) queue: RefCell<Queue>,
    /// The waiting requests by their tickets in the queue.
    pub(crate) waiters: RefCell<BTreeMap<Ticket, Waiter>>,
    /// Notified when a request enters the queue.
    pub(crate) queued: Notify,
    /// Notified when there are new records of the operators' or ownership topic, which are relayed
    /// to other hosts at once.
    pub(crate) update_ready: Notify,
    /// Pace of this host's answers to reports while it leads. The reports that are due wait for it
    /// in their order.
    pub(crate) pace: Mutex<Pace>,
    /// Reports and answers of the recent past while this host leads.
    pub(crate) tally: Tally,
    /// Whether waiting requests are being dispatched, so that dispatching does not recurse.
    pub(crate) is_dispatching: Cell<bool>,
    /// Progress of a planned stop of the host.
    pub(crate) stop: Progress,
    /// Whether the first complete list of the targets has been read.
    pub(crate) has_listed_targets: Cell<bool>,
    /// Open connections of callers.
    pub(crate) caller_connections: Cell<u32>,
    /// Notified when idle connections of callers are to be closed, since there are many.
    pub(crate) crowded: Notify,
    /// When that was notified last.
    pub(crate) crowded_at: Cell<Instant>,
    /// Connections of callers since the host started, open and closed.
    pub(crate) accepted_connections: Cell<u64>,
    /// Bytes that are reserved for the bodies of requests.
    pub(crate) body_bytes: Cell<u64>,
    /// Number of connections to targets that were opened or tried so far.
    pub(crate) opened_connections: Cell<u64>,
    /// Requests that have no complete reply yet.
    pub(crate) active_requests: Rc<Register>,
}

/// Record of a registered host in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address for the other hosts.
    pub(crate) address: Option<SocketAddr>,
    /// Address for requests that other hosts forward.
    #[serde(default)]
    pub(crate) forwards: Option<SocketAddr>,
    /// Whether it compares its configuration with the one by which a forwarded request was routed.
    #[serde(default)]
    pub(crate) compares_routes: bool,
    #[serde(default)]
    pub(crate) data_centre: Option<name::DataCentre>,
    /// Processor time, in percent of a core.
    pub(crate) processor_percent: u32,
    /// Bandwidth of its link in megabits a second; 0 if it is unknown.
    #[serde(default)]
    pub(crate) link_mbps: u32,
    /// Whether it passes reports of other hosts on to the leader. Hosts of earlier releases don't.
    #[serde(default)]
    pub(crate) relays: bool,
}

/// Local state of one incarnation of a target.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) load: Load,
    pub(crate) breaker: Breaker,
    pub(crate) restart_detector: Detector,
    pub(crate) cold_limiter: Bucket,
    pub(crate) rate_limit: Limit,
    pub(crate) pause: Pause,
    pub(crate) pool: Pool,
    retention: Retention,
}

impl Endpoint {
    fn new(now: Instant) -> Self {
        Self {
            load: Load::default(),
            breaker: Breaker::default(),
            restart_detector: Detector::default(),
            cold_limiter: Bucket::new(now, 1.0),
            rate_limit: Limit::default(),
            pause: Pause::default(),
            pool: Pool::default(),
            retention: Retention::default(),
        }
    }

    /// Records whether the target has an entry. Returns whether this state is still needed.
    pub(crate) fn is_needed(&mut self, now: Instant, is_listed: bool) -> bool {
        let is_kept = self.retention.record(now, is_listed);
        let is_paused = self.pause.left(now).is_some();
        is_kept || is_paused || self.load.in_flight() > 0 || self.pool.is_in_use()
    }

    /// Tells whether the target may have restarted under its id without a new entry yet.
    pub(crate) fn may_have_restarted(&mut self, now: Instant, bounds: &Bounds) -> bool {
        let detector = &mut self.restart_detector;
        if detector.is_suspected(now, bounds) {
            detector.check_survival(now, |at| self.pool.is_open_since(at));
        }
        detector.is_suspected(now, bounds)
    }
}

impl Shared {
    pub(crate) fn new(settings: Settings, protocol: Protocol) -> anyhow::Result<Self> {
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        Ok(Self {
            settings: RefCell::new(settings),
            protocol,
            clock,
            lag: Lag::new(clock.now()),
            config: RefCell::default(),
            configured_at: Cell::default(),
            named_services: RefCell::default(),
            fleet: RefCell::default(),
            unnamed_entries: RefCell::default(),
            assignments: RefCell::default(),
            hosts: RefCell::default(),
            leader: RefCell::default(),
            stopped_leader: RefCell::default(),
            latest_term: Cell::default(),
            led_term: Cell::default(),
            is_leading: Cell::new(false),
            replicas: RefCell::default(),
            failed_topics: RefCell::default(),
            timeline: Cell::new(None),
            relist_at: Cell::new(None),
            store_recovered: Notify::new(),
            relayed_at: RefCell::default(),
            uplink: Uplink::new(clock.now()),
            fallback: RefCell::default(),
            outdated_topics: RefCell::default(),
            endpoints: RefCell::default(),
            traffic: RefCell::default(),
            crash_observer: RefCell::default(),
            crash_aggregator: RefCell::default(),
            trials: RefCell::default(),
            links: RefCell::default(),
            links_changed: Notify::new(),
            surveys: RefCell::default(),
            surveys_changed: Notify::new(),
            probes: RefCell::default(),
            probe_turns: RefCell::default(),
            refresh: RefCell::default(),
            refreshed_at: Cell::default(),
            reroute_due: Notify::new(),
            helpers: RefCell::default(),
            budgets: RefCell::default(),
            metrics,
            random: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            queued: Notify::new(),
            update_ready: Notify::new(),
            pace: Mutex::default(),
            tally: Tally::default(),
            is_dispatching: Cell::new(false),
            stop: Progress::default(),
            has_listed_targets: Cell::new(false),
            caller_connections: Cell::new(0),
            crowded: Notify::new(),
            crowded_at: Cell::default(),
            accepted_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            opened_connections: Cell::new(0),
            active_requests: Rc::default(),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the level of the connections of callers.
    pub(crate) fn occupancy(&self) -> Level {
        let descriptors = self.settings.borrow().limits.descriptors;
        occupancy::level(u64::from(self.caller_connections.get()), descriptors)
    }

    /// Returns how late this host's event loop was at most in the recent past.
    pub(crate) fn recent_lag(&self) -> Span {
        self.lag.recent(self.now())
    }

    /// Calls a function with the local state of a target, which is created if absent.
    pub(crate) fn with_endpoint<T>(
        &self,
        incarnation: &Incarnation,
        f: impl FnOnce(&mut Endpoint) -> T,
    ) -> T {
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(incarnation) {
            return f(endpoint);
        }
        f(endpoints
            .entry(incarnation.clone())
            .or_insert_with(|| Endpoint::new(self.clock.now())))
    }

    /// Records the timeline of a response of the store.
    pub(crate) fn observe_timeline(&self, timeline: Timeline) {
        let known = self.timeline.get();
        if known.is_some_and(|known| known >= timeline) {
            return;
        }
        self.timeline.set(Some(timeline));
        if let Some(known) = known {
            self.forget_offsets();
            log::warn!(timeline = timeline.0, previous = known.0; "store restored from an older copy; its latest records are lost");
        }
    }

    /// Makes all topics be read anew. What the records said stays in force until newer ones replace
    /// it.
    fn forget_offsets(&self) {
        let now = self.now();
        self.replicas
            .borrow_mut()
            .values_mut()
            .for_each(Replica::clear);
        self.relayed_at.borrow_mut().clear();
        self.fleet.borrow_mut().store_restored(now);
        self.relist_at.set(Some(now + RELIST_DELAY));
    }

    /// Returns the time as of which the target list is up to date with the store.
    pub(crate) fn fleet_read_at(&self) -> Instant {
        let replicas = self.replicas.borrow();
        let read_at = replicas.get(&Topic::Targets).map(Replica::read_at);
        read_at.unwrap_or_default()
    }

    /// Returns the age of the target list.
    pub(crate) fn fleet_age(&self, now: Instant) -> Span {
        now.since(self.fleet_read_at())
    }

    /// Records that this host's copy of a topic holds all records before an offset, as the store
    /// held them at `read_at`.
    pub(crate) fn advance_replica(&self, topic: Topic, next: Offset, read_at: Instant) {
        let mut replicas = self.replicas.borrow_mut();
        replicas.entry(topic).or_default().advance(next, read_at);
    }

    /// Returns this host's share of limits that hold for all hosts.
    pub(crate) fn share(&self) -> Share {
        Share::among(self.hosts.borrow().len())
    }

    /// Withdraws one retry from the budget of a service. Returns false if the budget is spent.
    pub(crate) fn withdraw_retry(&self, service: &name::Service) -> bool {
        self.with_budget(service, Budget::withdraw)
    }

    /// Counts a request of a service, which increases its retry budget.
    pub(crate) fn record_request(&self, service: &name::Service) {
        self.with_budget(service, Budget::deposit);
    }

    fn with_budget<T>(&self, service: &name::Service, f: impl FnOnce(&mut Budget) -> T) -> T {
        let share = self.share();
        let mut budgets = self.budgets.borrow_mut();
        let previous = budgets.get(service).map(|(share, _)| *share);
        if previous != Some(share) {
            let bounds = &self.settings.borrow().bounds;
            // The windows of the hosts' budgets are not aligned, so half of the slack is reserved
            // for retries that fall into different windows.
            let slack = share.of(bounds.retry_slack / 2.0);
            let percent = (bounds.retry_ratio * 100.0 * RETRY_SHARE) as u32;
            let budget = Budget::new(percent, (slack as u32).max(1));
            // Only the first budget starts full: a full one after each change of the share would
            // exceed the bound.
            let budget = if previous.is_none() {
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

    /// Returns whether the host can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.borrow().is_some()
            && self.has_listed_targets.get()
            && !self.stop.has_reached(Phase::Stopping)
    }
}

/// Time after a restore of the store from which a complete list shows what the operators want, since
/// they have written again what was lost.
const RELIST_DELAY: Span = Span::from_millis(2_000);
/// Part of the allowed retries that each host uses, so that hosts with uneven load together stay
/// below the bound.
const RETRY_SHARE: f64 = 0.75;
