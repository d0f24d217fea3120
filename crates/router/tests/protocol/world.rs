//! World of the model: the leader's decision code, the log, and the targets.
//!
//! What the entry host decides about writes is modelled here: a write is conditional on the end of the
//! log; after one without an answer the ranges are read back, and a claim on the same condition keeps the
//! write from being executed; a new leader's claim does the same.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::{Assignment, KEY_COUNT, Range},
    fleet::Fleet,
    leader::{self, Action, Leader, Operation, Order, Response, Tick},
    registration::Registration,
    traffic::Traffic,
};

use crate::{
    event::{Event, Fate, Step, TARGETS, Write},
    target::{self, Keys, Pending, Target},
};

/// Time of one step of the world.
const TICK: Span = Span::from_millis(100);
/// Lifetime of all grants, which is also the longest one that an earlier leader may have sent.
const HOLD: Span = Span::from_millis(4_000);
/// Latest arrival of an order after it was planned, which the leader counts on.
const MAX_DELAY: Span = Span::from_millis(850);
/// Time after which an order counts as unanswered.
const TIMEOUT: Span = Span::from_millis(400);
/// Time from an order to a late answer.
const ANSWER_DELAY: Span = Span::from_millis(300);
/// Time that a slow write takes.
const WRITE_TIME: Span = Span::from_millis(500);
/// Time from a write without an answer to the read-back.
const RELOAD_DELAY: Span = Span::from_millis(600);
/// Time before the first event, in which the first assignment is made.
const START_TIME: Span = Span::from_millis(3_000);
/// Time after the last fault in which each key has an owner again.
const RECOVERY_TIME: Span = Span::from_millis(20_000);
const DATA_CENTRES: [&str; 2] = ["north", "south"];
const BUSY_KEYS: [u16; 3] = [100, 30_000, 50_000];
const BUSY_REQUESTS: u32 = 400;

/// An invariant that does not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// Two targets hold a key at one moment.
    TwoOwners(String),
    /// A target takes a key by an epoch that is not above each that another target had.
    LowEpoch(String),
    /// A key is granted while a target that was granted it may still hold it.
    EarlyGrant(String),
    /// With faults ended, a key has no owner.
    NoOwner(String),
}

/// Rule of the entry host that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    None,
    /// A write without an answer is kept from being executed once the ranges are read back.
    Preclusion,
    /// A new leader counts on the grants of the earlier one.
    EarlierGrants,
    /// A failed write's ranges are replaced by those of the log.
    ReadBack,
}

/// A change that is being written.
#[derive(Clone, Debug)]
struct Change {
    ranges: Vec<Range>,
    /// End of the log on which it is conditional.
    condition: u64,
    /// When it is answered, or read back if it gets no answer.
    due: Instant,
    is_answered: bool,
}

/// An answer on its way to the leader.
#[derive(Clone, Debug)]
struct Answer {
    due: Instant,
    order: Order,
    response: Response,
}

/// State of the world.
#[derive(Clone, Debug)]
pub struct World {
    rule: Rule,
    now: Instant,
    fleet: Fleet,
    leader: Leader,
    log: Assignment,
    log_end: u64,
    /// End of the log that the leader knows.
    known_end: u64,
    change: Option<Change>,
    /// Change whose write may still be executed.
    late: Option<Change>,
    answers: Vec<Answer>,
    targets: Vec<Target>,
    fates: [Fate; TARGETS],
    writes: Write,
    starts: u64,
    is_current: bool,
    is_busy: bool,
    /// Epochs by which targets had keys.
    had: BTreeMap<name::Target, Vec<Keys>>,
    pub violation: Option<Violation>,
}

fn service() -> name::Service {
    "lookup".parse().unwrap()
}

impl World {
    pub fn new(rule: Rule) -> Self {
        let now = Instant(Span::from_secs(100).0);
        let target = |slot| Target::new(["a", "b", "c"][slot], 1, address(slot, 0));
        let mut world = Self {
            rule,
            now,
            fleet: Fleet::default(),
            leader: Leader::new(&BTreeMap::new(), Instant::default()),
            log: Assignment::default(),
            log_end: 0,
            known_end: 0,
            change: None,
            late: None,
            answers: Vec::new(),
            targets: (0..TARGETS).map(target).collect(),
            fates: [Fate::Answered; TARGETS],
            writes: Write::Answered,
            starts: 1,
            is_current: true,
            is_busy: false,
            had: BTreeMap::new(),
            violation: None,
        };
        (0..TARGETS).for_each(|slot| world.list(slot, false));
        world.run(START_TIME);
        world
    }

    /// Plays a schedule and the recovery that follows.
    pub fn play(&mut self, steps: &[Step]) {
        steps.iter().for_each(|step| self.step(*step));
        self.recover();
    }

    /// Applies one event and lets the leader act until the next one.
    pub fn step(&mut self, step: Step) {
        self.apply(step.event);
        self.run(Span::from_millis(step.pause_ms));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Drain(slot) => self.list(slot, true),
            Event::Serve(slot) => self.list(slot, false),
            Event::Leave(slot) => self.delist(slot),
            Event::End(slot) => {
                self.restart(slot);
                self.targets[slot].is_running = false;
            }
            Event::Restart(slot) => {
                self.restart(slot);
                self.list(slot, false);
            }
            Event::RestartUnlisted(slot) => self.restart(slot),
            Event::Move(slot) => {
                self.restart(slot);
                self.targets[slot].incarnation.address = address(slot, self.starts);
                self.list(slot, false);
            }
            Event::Replace(slot) => {
                self.restart(slot);
                let id = format!("{}-{}", ["a", "b", "c"][slot], self.starts);
                self.targets[slot].incarnation.id = id.parse().unwrap();
                self.list(slot, false);
            }
            Event::Orders(slot, fate) => self.fates[slot] = fate,
            Event::CarryOut(slot, newest) => self.carry_out_pending(slot, newest),
            Event::Evacuate(index) => {
                self.fleet.evacuate(&DATA_CENTRES[index].parse().unwrap());
            }
            Event::TakeBack(index) => {
                let data_centre = DATA_CENTRES[index].parse().unwrap();
                self.fleet.restore(self.now, &data_centre);
            }
            Event::Writes(write) => self.writes = write,
            Event::Execute => self.execute_late(),
            Event::NewLeader => self.replace_leader(),
            Event::IsCurrent(is_current) => self.is_current = is_current,
            Event::IsBusy(is_busy) => self.is_busy = is_busy,
        }
    }

    /// Ends a process and starts another, which holds and knows nothing.
    fn restart(&mut self, slot: usize) {
        self.starts += 1;
        let incarnation = self.targets[slot].incarnation.clone();
        self.targets[slot] = Target::new(incarnation.id.as_str(), self.starts, incarnation.address);
    }

    fn list(&mut self, slot: usize, is_draining: bool) {
        if !self.targets[slot].is_running {
            return;
        }
        let incarnation = self.targets[slot].incarnation.clone();
        let id = incarnation.id.clone();
        let registration = Registration {
            incarnation,
            service: service(),
            data_centre: DATA_CENTRES[slot.min(1)].parse().unwrap(),
            slots: 6,
            is_draining,
            cold: Span::ZERO,
            sequence: 0,
        };
        self.fleet.apply(self.now, &id, Some(registration));
    }

    fn delist(&mut self, slot: usize) {
        let id = self.targets[slot].incarnation.id.clone();
        self.fleet.apply(self.now, &id, None);
    }

    fn replace_leader(&mut self) {
        // The claim moves the end of the log, so no write of the earlier leader can follow.
        self.log_end += 1;
        self.known_end = self.log_end;
        self.change = None;
        self.late = None;
        self.answers.clear();
        let assignments = BTreeMap::from([(service(), self.log.clone())]);
        let earlier_grants_end = match self.rule {
            Rule::EarlierGrants => self.now,
            _ => leader::expiry(self.now, HOLD),
        };
        self.leader = Leader::new(&assignments, earlier_grants_end);
    }

    /// Ends all faults and lets the leader act until each key should have an owner.
    fn recover(&mut self) {
        self.fates = [Fate::Answered; TARGETS];
        self.writes = Write::Answered;
        self.is_current = true;
        self.is_busy = false;
        if self.targets.iter().all(|target| !target.is_running) {
            self.restart(0);
        }
        let alive = self.targets.iter().filter(|target| target.is_running);
        let alive: BTreeSet<name::Target> = alive.map(|t| t.incarnation.id.clone()).collect();
        self.fleet.retain(self.now, &alive);
        for data_centre in DATA_CENTRES {
            let data_centre = data_centre.parse().unwrap();
            self.fleet.restore(self.now, &data_centre);
        }
        for slot in 0..TARGETS {
            self.list(slot, false);
            self.targets[slot].pending.clear();
        }
        let end = self.now + RECOVERY_TIME;
        while self.now < end && self.violation.is_none() && !self.is_settled() {
            self.run(TICK);
        }
        if self.violation.is_none() && !self.is_settled() {
            let ranges = format!("{:?}", self.log.ranges);
            self.violation = Some(Violation::NoOwner(ranges));
        }
    }

    /// Tells whether each key belongs to a target that holds it.
    fn is_settled(&self) -> bool {
        let width: u32 = self.log.ranges.iter().map(Range::width).sum();
        width == KEY_COUNT && self.log.ranges.iter().all(|range| self.is_owned(range))
    }

    fn is_owned(&self, range: &Range) -> bool {
        let owner = self.targets.iter().find(|t| t.incarnation == range.owner);
        let held = owner.iter().flat_map(|target| &target.held);
        let current = held.filter(|grant| grant.until > self.now);
        let mut same = current.filter(|grant| grant.keys.epoch == range.epoch);
        let is_held = |keys: &Keys| keys.first <= range.first && range.last <= keys.last;
        range.is_held() && same.any(|grant| is_held(&grant.keys))
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end && self.violation.is_none() {
            self.now = self.now + TICK;
            self.carry_out_due();
            self.deliver_answers();
            self.complete_change();
            self.tick();
        }
    }

    fn tick(&mut self) {
        let mut traffic = BTreeMap::new();
        if self.is_busy {
            traffic.insert(service(), busy_traffic(self.now));
        }
        let actions = self.leader.tick(&Tick {
            now: self.now,
            fleet: &self.fleet,
            traffic: &traffic,
            work_time: &|_| 1.0,
            rate_limit: &|_| None,
            min_epoch: 0,
            services: &[service()],
            hold: HOLD,
            is_current: self.is_current,
        });
        for action in actions {
            match action {
                Action::Log(_) => {}
                Action::Resign => self.replace_leader(),
                Action::Send(order) => self.send(order),
                Action::Write(changes) => self.write(changes.into_values().flatten().collect()),
            }
        }
    }

    fn write(&mut self, ranges: Vec<Range>) {
        let delay = match self.writes {
            Write::Answered => Span::ZERO,
            Write::Slow => WRITE_TIME,
            Write::AnswerLost | Write::Late => RELOAD_DELAY,
        };
        let change = Change {
            ranges,
            condition: self.known_end,
            due: self.now + delay,
            is_answered: matches!(self.writes, Write::Answered | Write::Slow),
        };
        match self.writes {
            Write::Late => self.late = Some(change.clone()),
            Write::AnswerLost => _ = self.execute(&change),
            Write::Answered | Write::Slow => {}
        }
        self.change = Some(change);
        self.complete_change();
    }

    /// Appends a change if its condition holds. Returns whether it does.
    fn execute(&mut self, change: &Change) -> bool {
        if change.condition != self.log_end {
            return false;
        }
        self.log_end += change.ranges.len() as u64;
        let ranges = change.ranges.iter().cloned();
        ranges.for_each(|range| self.log.upsert(range));
        true
    }

    fn execute_late(&mut self) {
        if let Some(late) = self.late.take() {
            self.execute(&late);
        }
    }

    fn complete_change(&mut self) {
        let Some(change) = self.change.take_if(|change| change.due <= self.now) else {
            return;
        };
        if change.is_answered && self.execute(&change) {
            self.known_end = self.log_end;
            self.leader.confirm_write();
            return;
        }
        self.read_back();
    }

    fn read_back(&mut self) {
        if self.log_end == self.known_end && self.rule != Rule::Preclusion {
            self.log_end += 1;
        }
        self.known_end = self.log_end;
        let assignments = BTreeMap::from([(service(), self.log.clone())]);
        match self.rule {
            Rule::ReadBack => self.leader.confirm_write(),
            _ => self.leader.reload(&assignments),
        }
    }

    fn send(&mut self, order: Order) {
        let address = order.target.address;
        let Some(slot) = self.slot(&order) else {
            let is_used = self
                .targets
                .iter()
                .any(|t| t.is_running && t.incarnation.address == address);
            let response = match is_used {
                true => Response::Misdirected,
                false => Response::Silent,
            };
            return self.answer(ANSWER_DELAY, order, response);
        };
        self.check_grant(slot, &order);
        let latest = self.now + MAX_DELAY;
        match self.fates[slot].of(&order.operation) {
            Fate::PendingGrants | Fate::LostReleases => unreachable!("fates of all orders"),
            Fate::Answered => {
                let response = self.carry_out(slot, &order, self.now);
                self.answer(Span::ZERO, order, response);
            }
            Fate::AnsweredLate => {
                let response = self.carry_out(slot, &order, self.now);
                self.answer(ANSWER_DELAY, order, response);
            }
            Fate::AnswerLost => {
                self.carry_out(slot, &order, self.now);
                self.answer(TIMEOUT, order, Response::Silent);
            }
            Fate::Lost => self.answer(TIMEOUT, order, Response::Silent),
            Fate::Unreached => self.answer(TIMEOUT, order, Response::Unreached),
            Fate::Slow => {
                self.hold_back(slot, &order, Some(latest));
                self.answer(TIMEOUT, order, Response::Silent);
            }
            Fate::Pending => {
                self.hold_back(slot, &order, None);
                self.answer(TIMEOUT, order, Response::Silent);
            }
            Fate::Unattributed => {
                self.hold_back(slot, &order, None);
                self.answer(ANSWER_DELAY, order, Response::Unattributed);
            }
        }
    }

    /// Returns the target that an order reaches: one with the same id at the same address.
    fn slot(&self, order: &Order) -> Option<usize> {
        self.targets.iter().position(|target| {
            let incarnation = &target.incarnation;
            let is_same =
                incarnation.id == order.target.id && incarnation.address == order.target.address;
            target.is_running && is_same
        })
    }

    fn hold_back(&mut self, slot: usize, order: &Order, due: Option<Instant>) {
        self.targets[slot].pending.push(Pending {
            order: order.clone(),
            arrives_at: self.now + MAX_DELAY,
            due,
        });
    }

    fn answer(&mut self, delay: Span, order: Order, response: Response) {
        if delay == Span::ZERO {
            return self.leader.record_response(self.now, &order, response);
        }
        let due = self.now + delay;
        self.answers.push(Answer {
            due,
            order,
            response,
        });
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        for answer in self.answers.extract_if(.., |answer| answer.due <= now) {
            self.leader
                .record_response(now, &answer.order, answer.response);
        }
    }

    fn carry_out_due(&mut self) {
        for slot in 0..TARGETS {
            let now = self.now;
            let is_due = |pending: &mut Pending| pending.due.is_some_and(|due| due <= now);
            let due: Vec<Pending> = self.targets[slot].pending.extract_if(.., is_due).collect();
            for pending in due {
                self.carry_out(slot, &pending.order, pending.arrives_at);
            }
        }
    }

    fn carry_out_pending(&mut self, slot: usize, newest: bool) {
        let pending = &self.targets[slot].pending;
        let mut arrived = (0..pending.len()).filter(|i| pending[*i].arrives_at <= self.now);
        let index = match newest {
            true => arrived.next_back(),
            false => arrived.next(),
        };
        if let Some(index) = index {
            let pending = self.targets[slot].pending.remove(index);
            self.carry_out(slot, &pending.order, pending.arrives_at);
        }
    }

    fn carry_out(&mut self, slot: usize, order: &Order, arrival: Instant) -> Response {
        if self.targets[slot].refuses(order) {
            return Response::Refused;
        }
        if let Some(grant) = self.targets[slot].carry_out(self.now, order, arrival) {
            self.check_taken(slot, grant.keys);
        }
        match order.operation {
            Operation::Grant { .. } => Response::Done(None),
            Operation::Release => Response::Done(Some("token".to_owned())),
        }
    }

    /// Checks a grant that is sent: no other target may hold its keys.
    fn check_grant(&mut self, slot: usize, order: &Order) {
        // A target that refuses the grant whenever it arrives does not get the keys.
        if order.operation == Operation::Release || self.targets[slot].refuses(order) {
            return;
        }
        let keys = target::keys(order);
        let others = (0..TARGETS).filter(|other| *other != slot);
        for other in others {
            let other = &self.targets[other];
            if let Some(until) = other.may_hold_until(self.now, &keys) {
                let id = &other.incarnation.id;
                let text = format!("{keys:?} to {}; {id} until {until:?}", order.target.id);
                self.violation.get_or_insert(Violation::EarlyGrant(text));
            }
        }
    }

    /// Checks keys that a target takes.
    fn check_taken(&mut self, slot: usize, keys: Keys) {
        let id = self.targets[slot].incarnation.id.clone();
        for (index, other) in self.targets.iter().enumerate() {
            let mut held = other.held.iter();
            let is_held = held.any(|held| held.until > self.now && held.keys.overlaps(&keys));
            if index != slot && is_held {
                let text = format!("{keys:?}: {id} and {}", other.incarnation.id);
                self.violation.get_or_insert(Violation::TwoOwners(text));
            }
        }
        let others = self.had.iter().filter(|(other, _)| **other != id);
        let mut others = others.flat_map(|(other, had)| had.iter().map(move |had| (other, had)));
        let higher = others.find(|(_, had)| had.overlaps(&keys) && had.epoch >= keys.epoch);
        if let Some((other, had)) = higher {
            let text = format!("{keys:?}: {id} after {other} with {}", had.epoch);
            self.violation.get_or_insert(Violation::LowEpoch(text));
        }
        target::record(self.had.entry(id).or_default(), keys);
    }
}

fn busy_traffic(now: Instant) -> Traffic {
    let mut traffic = Traffic::default();
    let counts = BUSY_KEYS.into_iter().map(|key| (key, BUSY_REQUESTS));
    traffic.merge(now, &counts.collect());
    traffic
}

/// Returns the address of a target's process that started as the given one.
fn address(slot: usize, start: u64) -> std::net::SocketAddr {
    ([127, 0, 0, 1 + slot as u8], 1_000 + start as u16).into()
}
