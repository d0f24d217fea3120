//! Simulation of targets that carry out orders or don't respond, and of the leader of their keys.

#![allow(dead_code)]

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::{Assignment, Range},
    fleet::Fleet,
    leader::{Action, Leader, Operation, Order, Response, Tick},
    registration::{Incarnation, Registration},
};

pub const HOLD: Span = Span::from_millis(4_000);
pub const MAX_HOLD: Span = Span::from_millis(10_000);

/// Simulation of the targets of one service and of the leader that manages their keys.
pub struct Simulation {
    pub now: Instant,
    pub fleet: Fleet,
    pub leader: Leader,
    pub durable: Assignment,
    /// Epoch and end of the valid grants, by target, first key and last key.
    pub grants: BTreeMap<(String, u16, u16), (u64, Instant)>,
    /// Orders that targets carried out: target, first key, last key and epoch.
    pub seen: Vec<(String, u16, u16, u64)>,
    /// Lowest epoch that the leader may allocate.
    pub min_epoch: u64,
    pub unresponsive: Vec<String>,
    /// Ids of the processes by the addresses at which they listen.
    pub processes: BTreeMap<SocketAddr, String>,
    /// Whether unresponsive targets accept grants, as late as a connection allows.
    pub accepts_late_grants: bool,
    pub is_current: bool,
    pub drops_writes: bool,
    /// Time that a write to the log takes.
    pub write_time: Span,
    /// Writes in progress, with the times at which they complete.
    pub writes: Vec<(Instant, Vec<Range>)>,
    pub orders: Vec<Order>,
    /// Decides what becomes of an order that reaches its target.
    pub fate: Box<dyn FnMut(&Order) -> Fate>,
    /// Orders that got no response and are carried out later, with their arrival and that time.
    pub late: Vec<(Instant, Instant, Order)>,
    /// Epochs by which targets had keys: target, first key, last key and epoch.
    pub had: Vec<(String, u16, u16, u64)>,
}

/// What becomes of an order that reaches its target.
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It gets no response and is not carried out.
    Lost,
    /// It does not arrive, and the host knows that its own link is lost.
    Unreached,
    /// It gets no response and is carried out after a time.
    Late(Span),
}

pub fn service() -> name::Service {
    "lookup".parse().unwrap()
}

pub fn registration(id: &str, start_ms: u64) -> Registration {
    let hash = id.bytes().fold(0u16, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    let port = 1_000 + hash % 50_000;
    Registration {
        incarnation: Incarnation {
            id: id.parse().unwrap(),
            start_ms,
            address: ([127, 0, 0, 1], port).into(),
        },
        service: service(),
        data_centre: "north".parse().unwrap(),
        slots: 6,
        is_draining: false,
        cold: Span::ZERO,
        sequence: 0,
    }
}

impl Simulation {
    pub fn new(targets: &[&str]) -> Self {
        let mut sim = Self {
            now: Instant(Span::from_secs(100).0),
            fleet: Fleet::default(),
            leader: Leader::new(&BTreeMap::new(), Instant::default()),
            durable: Assignment::default(),
            grants: BTreeMap::new(),
            seen: Vec::new(),
            min_epoch: 0,
            unresponsive: Vec::new(),
            processes: BTreeMap::new(),
            accepts_late_grants: false,
            is_current: true,
            drops_writes: false,
            write_time: Span::ZERO,
            writes: Vec::new(),
            orders: Vec::new(),
            fate: Box::new(|_| Fate::Answered),
            late: Vec::new(),
            had: Vec::new(),
        };
        for id in targets {
            sim.register(registration(id, 1));
        }
        sim
    }

    /// Starts a target or changes its entry.
    pub fn register(&mut self, registration: Registration) {
        let incarnation = &registration.incarnation;
        self.processes
            .retain(|_, id| *id != incarnation.id.as_str());
        self.processes
            .insert(incarnation.address, incarnation.id.to_string());
        self.list(registration);
    }

    /// Applies an entry, which may be one of another writer.
    pub fn list(&mut self, registration: Registration) {
        let id = registration.incarnation.id.clone();
        self.fleet.apply(self.now, &id, Some(registration));
    }

    pub fn drain(&mut self, id: &str) {
        self.drain_since(id, 1);
    }

    /// Lets the run of a target that started at a time drain.
    pub fn drain_since(&mut self, id: &str, start_ms: u64) {
        let mut registration = registration(id, start_ms);
        registration.is_draining = true;
        self.register(registration);
    }

    /// Restarts a target under its id: it holds and knows nothing of before, and orders that it has
    /// not carried out are gone.
    pub fn restart(&mut self, id: &str, start_ms: u64) {
        self.grants.retain(|(target, ..), _| target != id);
        self.seen.retain(|(target, ..)| target != id);
        self.late
            .retain(|(.., order)| order.target.id.as_str() != id);
        self.register(registration(id, start_ms));
    }

    /// Starts a new leader that knows only the log, while the old one's lease may last for `lease`. Its
    /// claim keeps writes in progress from being executed.
    pub fn replace_leader(&mut self, lease: Span) {
        self.writes.clear();
        let assignments = BTreeMap::from([(service(), self.durable.clone())]);
        let until = ragwortrill_router::leader::expiry(self.now + lease, MAX_HOLD);
        self.leader = Leader::new(&assignments, until);
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            self.now = self.now + Span::from_millis(50);
        }
    }

    /// Carries out the actions of one tick. Returns whether the leader resigns.
    pub fn step(&mut self) -> bool {
        self.complete_writes();
        self.carry_out_late();
        for action in self.tick() {
            match action {
                Action::Write(..) if self.drops_writes => {}
                Action::Write(mut changes) => {
                    let ranges = changes.remove(&service()).unwrap_or_default();
                    self.writes.push((self.now + self.write_time, ranges));
                    self.complete_writes();
                }
                Action::Send(order) => {
                    let response = self.carry_out(&order);
                    self.leader.record_response(self.now, &order, response);
                    self.orders.push(order);
                }
                Action::Log(_) => {}
                Action::Resign => return true,
            }
        }
        false
    }

    pub fn complete_writes(&mut self) {
        let writes = std::mem::take(&mut self.writes);
        for (at, ranges) in writes {
            if at > self.now {
                self.writes.push((at, ranges));
                continue;
            }
            ranges
                .into_iter()
                .for_each(|range| self.durable.upsert(range));
            self.leader.confirm_write();
        }
    }

    /// Executes the writes in progress at once.
    pub fn execute_writes(&mut self) {
        self.writes.iter_mut().for_each(|(at, _)| *at = self.now);
        self.complete_writes();
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.leader.tick(&Tick {
            now: self.now,
            fleet: &self.fleet,
            traffic: &BTreeMap::new(),
            work_time: &|_| 1.0,
            rate_limit: &|_| None,
            min_epoch: self.min_epoch,
            services: &[service()],
            hold: HOLD,
            is_current: self.is_current,
        })
    }

    pub fn carry_out(&mut self, order: &Order) -> Response {
        let id = order.target.id.to_string();
        match self.processes.get(&order.target.address) {
            None => return Response::Silent,
            Some(process) if *process != id => return Response::Misdirected,
            Some(_) => {}
        }
        if self.unresponsive.contains(&id) {
            self.accept_late(id, order);
            return Response::Silent;
        }
        match (self.fate)(order) {
            Fate::Answered => self.execute(order, self.now),
            Fate::Lost => Response::Silent,
            Fate::Unreached => Response::Unreached,
            Fate::Late(delay) => {
                let due = self.now + delay;
                self.late.push((self.now, due, order.clone()));
                Response::Silent
            }
        }
    }

    /// Carries out the late orders that are due.
    pub fn carry_out_late(&mut self) {
        let late = std::mem::take(&mut self.late);
        let (due, later) = late.into_iter().partition(|(_, due, _)| *due <= self.now);
        self.late = later;
        let due: Vec<(Instant, Instant, Order)> = due;
        for (arrived, _, order) in due {
            self.execute(&order, arrived);
        }
    }

    /// Carries out an order that arrived at a time at its target.
    fn execute(&mut self, order: &Order, arrived: Instant) -> Response {
        let id = order.target.id.to_string();
        if order.operation != Operation::Release && self.has_seen_higher(&id, order) {
            return Response::Refused;
        }
        self.seen
            .push((id.clone(), order.first, order.last, order.fence));
        let key = (id, order.first, order.last);
        match &order.operation {
            Operation::Grant { hold, .. } => {
                let end = arrived + *hold;
                if end > self.now {
                    self.check_sole_owner(order);
                    self.check_epoch(order);
                    self.had
                        .push((key.0.clone(), order.first, order.last, order.fence));
                    self.grants.insert(key, (order.fence, end));
                }
                Response::Done(None)
            }
            Operation::Release => {
                let id = order.target.id.as_str();
                let overlaps =
                    |k: &(String, u16, u16)| k.0 == id && k.1 <= order.last && k.2 >= order.first;
                let is_released = |epoch: u64| epoch < order.fence;
                self.grants
                    .retain(|k, (epoch, _)| !overlaps(k) || !is_released(*epoch));
                Response::Done(Some("token".to_owned()))
            }
        }
    }

    /// Returns whether a target has seen a higher epoch on keys of an order.
    pub fn has_seen_higher(&self, id: &str, order: &Order) -> bool {
        let mut seen = self.seen.iter();
        seen.any(|(target, first, last, epoch)| {
            let overlaps = *first <= order.last && *last >= order.first;
            target == id && overlaps && *epoch > order.fence
        })
    }

    /// Lets a grant that got no response arrive 800 ms late at a target whose clock is 2% slow.
    pub fn accept_late(&mut self, id: String, order: &Order) {
        if let (true, Operation::Grant { hold, .. }) = (self.accepts_late_grants, &order.operation)
        {
            let end = self.now + Span::from_millis(800) + hold.scale(102, 100);
            self.grants
                .insert((id, order.first, order.last), (order.fence, end));
        }
    }

    /// Fails if another target may still hold a key of the granted range, or had a higher epoch for
    /// it.
    pub fn check_sole_owner(&self, order: &Order) {
        for ((id, first, last), (epoch, end)) in &self.grants {
            let overlaps = *first <= order.last && *last >= order.first;
            if id != order.target.id.as_str() && overlaps {
                assert!(
                    *end < self.now,
                    "{id} still holds {first}-{last}: {order:?}"
                );
                assert!(*epoch < order.fence, "{id} had epoch {epoch}: {order:?}");
            }
        }
    }

    /// Fails if another target had a key of the granted range by an epoch that is not below the grant's.
    pub fn check_epoch(&self, order: &Order) {
        let id = order.target.id.as_str();
        let mut others = self.had.iter().filter(|(target, ..)| target != id);
        let higher = others.find(|(_, first, last, epoch)| {
            *first <= order.last && *last >= order.first && *epoch >= order.fence
        });
        assert!(higher.is_none(), "{higher:?} came before {order:?}");
    }

    pub fn owners(&self) -> Vec<&str> {
        let mut owners: Vec<&str> = self
            .durable
            .ranges
            .iter()
            .map(|r| r.owner.id.as_str())
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    pub fn is_settled(&self) -> bool {
        let width: u32 = self.durable.ranges.iter().map(|range| range.width()).sum();
        width == 65_536 && self.durable.ranges.iter().all(|range| range.is_held())
    }
}
