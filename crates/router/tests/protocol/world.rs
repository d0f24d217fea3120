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
    assignment::{Assignment, KEY_COUNT, Key, Range, State},
    fleet::Fleet,
    leader::{self, Action, Leader, Operation, Order, Response, Tick},
    registration::{Incarnation, Registration},
    traffic::Traffic,
};

use crate::{
    event::{Event, Fate, OddEntry, Services, Step, TARGETS, Write},
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
const IDS: [&str; TARGETS] = ["a", "b", "c", "d", "e"];
const SERVICES: [&str; 2] = ["lookup", "search"];
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
    /// An epoch is allocated that the log has, or that its leader has allocated before.
    ReusedEpoch(String),
    /// A move is written as complete before its owner has taken the keys.
    EarlyCompletion(String),
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
    ranges: BTreeMap<name::Service, Vec<Range>>,
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
    services: Services,
    now: Instant,
    fleet: Fleet,
    leader: Leader,
    log: BTreeMap<name::Service, Assignment>,
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
    repeats_owners: bool,
    /// Highest epochs that the log has or the leader has allocated.
    allocated: BTreeMap<name::Service, u64>,
    /// Epochs by which targets had keys.
    had: BTreeMap<(name::Service, name::Target), Vec<Keys>>,
    pub violation: Option<Violation>,
}

/// Returns the names of the services whose keys are assigned.
fn names(services: Services) -> Vec<name::Service> {
    let all = SERVICES.into_iter().map(|name| name.parse().unwrap());
    match services {
        Services::One => all.take(1).collect(),
        Services::Two => all.collect(),
    }
}

/// Returns the service of a target.
fn service(slot: usize) -> name::Service {
    let index = usize::from(slot >= Services::One.targets());
    SERVICES[index].parse().unwrap()
}

impl World {
    pub fn new(rule: Rule, services: Services) -> Self {
        let now = Instant(Span::from_secs(100).0);
        let target = |slot| Target::new(service(slot), IDS[slot], 1, address(slot, 0));
        let mut world = Self {
            rule,
            services,
            now,
            fleet: Fleet::default(),
            leader: Leader::new(&BTreeMap::new(), Instant::default()),
            log: BTreeMap::new(),
            log_end: 0,
            known_end: 0,
            change: None,
            late: None,
            answers: Vec::new(),
            targets: (0..services.targets()).map(target).collect(),
            fates: [Fate::Answered; TARGETS],
            writes: Write::Answered,
            starts: 1,
            is_current: true,
            is_busy: false,
            repeats_owners: false,
            allocated: BTreeMap::new(),
            had: BTreeMap::new(),
            violation: None,
        };
        (0..services.targets()).for_each(|slot| world.list(slot, false));
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
                let id = format!("{}-{}", IDS[slot], self.starts);
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
            Event::Overwrite(slot, entry) => self.overwrite(slot, entry),
            Event::Overlap => self.leave_overlap(),
            Event::RepeatsOwners(repeats_owners) => self.repeats_owners = repeats_owners,
            Event::IsCurrent(is_current) => self.is_current = is_current,
            Event::IsBusy(is_busy) => self.is_busy = is_busy,
        }
    }

    /// Ends a process and starts another, which holds and knows nothing.
    fn restart(&mut self, slot: usize) {
        self.starts += 1;
        let Incarnation { id, address, .. } = self.targets[slot].incarnation.clone();
        let mut target = Target::new(service(slot), id.as_str(), self.starts, address);
        // Orders that have not arrived reach the next process at the address.
        let pending = self.targets[slot].pending.drain(..);
        target.pending = pending.filter(|pending| pending.is_connecting).collect();
        self.targets[slot] = target;
    }

    /// Applies an entry of another writer in place of a target's, or beside it.
    fn overwrite(&mut self, slot: usize, entry: OddEntry) {
        self.starts += 1;
        let target = &self.targets[slot].incarnation;
        let incarnation = match entry {
            OddEntry::OtherAddress => Incarnation {
                start_ms: self.starts,
                address: address(slot, self.starts),
                ..target.clone()
            },
            OddEntry::OtherId => Incarnation {
                id: format!("odd-{}", self.starts).parse().unwrap(),
                start_ms: self.starts,
                address: target.address,
            },
        };
        self.register(slot, incarnation, false);
    }

    /// Adds the ranges of a late write to the log, and starts another leader. Those that would replace a
    /// later range are left out: what the leader before granted by it would be lost.
    fn leave_overlap(&mut self) {
        let Some(late) = self.late.take() else {
            return;
        };
        for (service, ranges) in late.ranges {
            let log = self.log.entry(service).or_default();
            let firsts: BTreeSet<Key> = log.ranges.iter().map(|range| range.first).collect();
            let added = ranges
                .into_iter()
                .filter(|range| !firsts.contains(&range.first));
            added.for_each(|range| log.upsert(range));
        }
        self.replace_leader();
    }

    fn list(&mut self, slot: usize, is_draining: bool) {
        if !self.targets[slot].is_running {
            return;
        }
        let incarnation = self.targets[slot].incarnation.clone();
        self.register(slot, incarnation, is_draining);
    }

    fn register(&mut self, slot: usize, incarnation: Incarnation, is_draining: bool) {
        let id = incarnation.id.clone();
        let registration = Registration {
            incarnation,
            service: service(slot),
            data_centre: DATA_CENTRES[usize::from(slot > 0)].parse().unwrap(),
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
        self.change = None;
        self.late = None;
        self.answers.clear();
        let pending = self
            .targets
            .iter_mut()
            .flat_map(|target| &mut target.pending);
        pending.for_each(|pending| pending.is_awaited = false);
        let mut separated = 0;
        for assignment in self.log.values_mut() {
            if assignment.separate(0) {
                separated += assignment.ranges.len() as u64;
            }
        }
        self.log_end += separated;
        self.known_end = self.log_end;
        self.allocated.clear();
        let earlier_grants_end = match self.rule {
            Rule::EarlierGrants => self.now,
            _ => leader::expiry(self.now, HOLD),
        };
        self.leader = Leader::new(&self.log, earlier_grants_end);
    }

    /// Ends all faults and lets the leader act until each key should have an owner.
    fn recover(&mut self) {
        self.fates = [Fate::Answered; TARGETS];
        self.writes = Write::Answered;
        self.is_current = true;
        self.is_busy = false;
        for service in names(self.services) {
            let mut targets = self.targets.iter();
            if !targets.any(|target| target.service == service && target.is_running) {
                let first = self.targets.iter().position(|t| t.service == service);
                self.restart(first.unwrap());
            }
        }
        let alive = self.targets.iter().filter(|target| target.is_running);
        let alive: BTreeSet<name::Target> = alive.map(|t| t.incarnation.id.clone()).collect();
        self.fleet.retain(self.now, &alive);
        for data_centre in DATA_CENTRES {
            let data_centre = data_centre.parse().unwrap();
            self.fleet.restore(self.now, &data_centre);
        }
        for slot in 0..self.targets.len() {
            self.list(slot, false);
            let pending = &mut self.targets[slot].pending;
            pending.retain(|pending| pending.is_connecting);
        }
        let end = self.now + RECOVERY_TIME;
        while self.now < end && self.violation.is_none() && !self.is_settled() {
            self.run(TICK);
        }
        if self.violation.is_none() && !self.is_settled() {
            let ranges = format!("{:?}", self.log);
            self.violation = Some(Violation::NoOwner(ranges));
        }
    }

    /// Tells whether each key belongs to a target that holds it.
    fn is_settled(&self) -> bool {
        names(self.services).iter().all(|service| {
            let ranges = self.log.get(service).map(|log| &log.ranges[..]);
            let ranges = ranges.unwrap_or_default();
            let width: u32 = ranges.iter().map(Range::width).sum();
            width == KEY_COUNT && ranges.iter().all(|range| self.is_owned(range))
        })
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
            traffic.insert(service(0), busy_traffic(self.now));
        }
        let actions = self.leader.tick(&Tick {
            now: self.now,
            fleet: &self.fleet,
            traffic: &traffic,
            work_time: &|_| 1.0,
            rate_limit: &|_| None,
            min_epoch: 0,
            services: &names(self.services),
            hold: HOLD,
            is_current: self.is_current,
        });
        for action in actions {
            match action {
                Action::Log(_) => {}
                Action::Resign => self.replace_leader(),
                Action::Send(order) => self.send(order),
                Action::Write(changes) => self.write(changes),
            }
        }
    }

    fn write(&mut self, mut ranges: BTreeMap<name::Service, Vec<Range>>) {
        for (service, ranges) in &mut ranges {
            self.check_epochs(service, ranges);
            self.check_completed(service, ranges);
            if self.repeats_owners {
                self.repeat_owners(service, ranges);
            }
        }
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
        for (service, ranges) in &change.ranges {
            self.log_end += ranges.len() as u64;
            let log = self.log.entry(service.clone()).or_default();
            ranges.iter().for_each(|range| log.upsert(range.clone()));
        }
        true
    }

    /// Lists the previous owners of a move again that the one before it in the log lists, if they have
    /// another grant since.
    fn repeat_owners(&self, service: &name::Service, ranges: &mut [Range]) {
        for range in ranges {
            let earlier = self.log.get(service).and_then(|log| log.range(range.first));
            let (State::Moving(previous), Some(earlier)) = (&mut range.state, earlier) else {
                continue;
            };
            let State::Moving(earlier) = &earlier.state else {
                continue;
            };
            for owner in earlier.iter().rev() {
                let mut same = previous.iter().filter(|other| other.target == owner.target);
                let is_listed = previous.contains(owner);
                if same.next().is_some() && !is_listed {
                    previous.insert(0, owner.clone());
                }
            }
        }
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
        match self.rule {
            Rule::ReadBack => self.leader.confirm_write(),
            _ => self.leader.reload(&self.log),
        }
    }

    fn send(&mut self, order: Order) {
        let Some(slot) = self.slot(&order) else {
            let response = self.response_of_others(&order);
            return self.answer(ANSWER_DELAY, order, response);
        };
        self.check_grant(slot, &order);
        let latest = self.now + MAX_DELAY;
        match self.fates[slot].of(&order.operation) {
            Fate::PendingGrants | Fate::LostReleases => unreachable!("fates of all orders"),
            Fate::DelayedGrants => self.targets[slot].pending.push(Pending {
                order,
                arrives_at: self.now + TIMEOUT,
                due: Some(self.now + TIMEOUT),
                is_connecting: true,
                is_awaited: true,
            }),
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

    /// Returns the response to an order whose target does not use the address any more.
    fn response_of_others(&self, order: &Order) -> Response {
        let mut running = self.targets.iter().filter(|target| target.is_running);
        match running.any(|target| target.incarnation.address == order.target.address) {
            true => Response::Misdirected,
            false => Response::Silent,
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
            is_connecting: false,
            is_awaited: false,
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
        for slot in 0..self.targets.len() {
            let now = self.now;
            let is_due = |pending: &mut Pending| pending.due.is_some_and(|due| due <= now);
            let due: Vec<Pending> = self.targets[slot].pending.extract_if(.., is_due).collect();
            for Pending {
                order,
                arrives_at,
                is_connecting,
                is_awaited,
                ..
            } in due
            {
                let response = match (is_connecting, self.slot(&order)) {
                    (true, None) => self.response_of_others(&order),
                    _ => self.carry_out(slot, &order, arrives_at),
                };
                if is_awaited {
                    self.answer(Span::ZERO, order, response);
                }
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
        for (index, other) in self.targets.iter().enumerate() {
            if index == slot || other.service != order.service {
                continue;
            }
            if let Some(until) = other.may_hold_until(self.now, &keys) {
                let id = &other.incarnation.id;
                let text = format!("{keys:?} to {}; {id} until {until:?}", order.target.id);
                self.violation.get_or_insert(Violation::EarlyGrant(text));
            }
        }
    }

    /// Checks keys that a target takes.
    fn check_taken(&mut self, slot: usize, keys: Keys) {
        let service = self.targets[slot].service.clone();
        let id = self.targets[slot].incarnation.id.clone();
        for (index, other) in self.targets.iter().enumerate() {
            let mut held = other.held.iter();
            let is_held = held.any(|held| held.until > self.now && held.keys.overlaps(&keys));
            if index != slot && other.service == service && is_held {
                let text = format!("{keys:?}: {id} and {}", other.incarnation.id);
                self.violation.get_or_insert(Violation::TwoOwners(text));
            }
        }
        let had = self.had.iter();
        let others = had.filter(|((other, target), _)| *other == service && *target != id);
        let mut others =
            others.flat_map(|((_, other), had)| had.iter().map(move |had| (other, had)));
        let higher = others.find(|(_, had)| had.overlaps(&keys) && had.epoch >= keys.epoch);
        if let Some((other, had)) = higher {
            let text = format!("{keys:?}: {id} after {other} with {}", had.epoch);
            self.violation.get_or_insert(Violation::LowEpoch(text));
        }
        target::record(self.had.entry((service, id)).or_default(), keys);
    }

    /// Checks moves that are written as complete: their owners have taken the keys.
    fn check_completed(&mut self, service: &name::Service, ranges: &[Range]) {
        let log = &self.log[service];
        let is_moving = |range: &&Range| {
            let known = log.ranges.iter().find(|known| known.epoch == range.epoch);
            range.is_held() && known.is_some_and(|known| !known.is_held())
        };
        for range in ranges.iter().filter(is_moving) {
            let owner = (service.clone(), range.owner.id.clone());
            let mut had = self.had.get(&owner).into_iter().flatten();
            if !had.any(|keys| keys.epoch >= range.epoch && keys.first <= range.first) {
                let text = format!("{service} {range:?}");
                self.violation
                    .get_or_insert(Violation::EarlyCompletion(text));
            }
        }
    }

    /// Checks the epochs of ranges that are written: those that the log does not have are new.
    fn check_epochs(&mut self, service: &name::Service, ranges: &[Range]) {
        let log = self.log.entry(service.clone()).or_default();
        let known: BTreeSet<u64> = log.ranges.iter().map(|range| range.epoch).collect();
        let allocated = self.allocated.entry(service.clone()).or_default();
        let highest = known.last().copied().unwrap_or_default();
        *allocated = highest.max(*allocated);
        let new = ranges.iter().map(|range| range.epoch);
        let new: BTreeSet<u64> = new.filter(|epoch| !known.contains(epoch)).collect();
        if let Some(reused) = new.iter().find(|epoch| **epoch <= *allocated) {
            let text = format!("{service} {reused}, after {allocated}");
            self.violation.get_or_insert(Violation::ReusedEpoch(text));
        }
        *allocated = new.last().copied().unwrap_or_default().max(*allocated);
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
