//! Model check of the leader across restores of the store: all schedules of moves, restarts, copies
//! and restores up to a length, with the leader's own transition functions.

use std::{
    collections::BTreeMap,
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
};

use pathfinding::directed::bfs::bfs_reach;
use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::Assignment,
    fleet::Fleet,
    leader::{self, Action, Leader, Operation, Order, Response, Tick},
    registration::{Incarnation, Registration},
};
use xxhash_rust::xxh3::xxh3_128;

/// Longest schedule, after the moves that follow the first copy.
const MAX_STEPS: usize = 4;
/// Lifetime of grants, and the longest one that an earlier leader may have sent.
const HOLD: Span = Span::from_millis(4_000);
const MAX_HOLD: Span = Span::from_millis(10_000);
/// Lifetime of the lease.
const LEASE: Span = Span::from_millis(3_000);
/// Time of one step in which the leader acts, and of one tick.
const RUN_TIME: Span = Span::from_millis(1_500);
/// Time in which every earlier grant ends.
const LONG_RUN_TIME: Span = Span::from_millis(16_000);
const TICK: Span = Span::from_millis(50);
const TARGETS: [&str; 2] = ["a", "b"];

/// Rule that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    None,
    /// Epochs of a timeline are above those of earlier ones.
    Epochs,
    /// Ranges that may not be the latest wait for their owners' confirmation.
    Confirmation,
    /// The first order of a recovered leader follows the list of targets.
    List,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The leader acts for a while, or until every earlier grant has ended.
    Run,
    RunLong,
    /// The leader acts until its next change is written, and not on that change.
    Write,
    /// A target drains, or serves again.
    Drain(usize),
    Return(usize),
    /// A target restarts under its id and forgets what it held and saw.
    Restart(usize),
    /// The store keeps a copy.
    Copy,
    /// A host reads all ranges.
    Follow,
    /// The store is restored from the copy, and a leader takes over that knows what the earlier
    /// leader knew.
    Restore,
    /// As above, but the new leader knows only what the host has read.
    RestoreAndReplace,
    /// A new leader takes over with the ranges in the store.
    Replace,
}

const STEPS: [Step; 14] = [
    Step::Run,
    Step::RunLong,
    Step::Write,
    Step::Drain(0),
    Step::Drain(1),
    Step::Return(0),
    Step::Return(1),
    Step::Restart(0),
    Step::Restart(1),
    Step::Copy,
    Step::Follow,
    Step::Restore,
    Step::RestoreAndReplace,
    Step::Replace,
];

/// Keys that a target holds, or an epoch that it has seen on them.
#[derive(Clone, Copy, Debug)]
struct Grant {
    first: u16,
    last: u16,
    epoch: u64,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Target {
    start_ms: u64,
    held: Vec<Grant>,
    seen: Vec<Grant>,
    /// Grants that any run of the target has accepted.
    accepted: Vec<Grant>,
}

#[derive(Clone, Debug)]
struct World {
    rule: Rule,
    now: Instant,
    fleet: Fleet,
    leader: Leader,
    stored: Assignment,
    copy: Assignment,
    followed: Assignment,
    targets: [Target; 2],
    timeline: u64,
    /// Whether the leader has read the list of targets in this timeline.
    is_current: bool,
    /// Until when later ranges than those in the store may be missing.
    uncertain_until: Instant,
    violation: Option<String>,
}

/// A state of the search, identified by its contents.
#[derive(Clone)]
struct State {
    digest: u128,
    world: Rc<World>,
    schedule: Vec<Step>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl State {
    fn new(world: World, schedule: Vec<Step>) -> Self {
        let text = format!("{world:?}");
        Self {
            digest: xxh3_128(text.as_bytes()),
            world: Rc::new(world),
            schedule,
        }
    }

    fn successors(&self) -> Vec<Self> {
        if self.schedule.len() == MAX_STEPS || self.world.violation.is_some() {
            return Vec::new();
        }
        let successor = |step: Step| {
            let mut world = (*self.world).clone();
            world.step(step);
            let schedule = [&self.schedule[..], &[step]].concat();
            Self::new(world, schedule)
        };
        STEPS.into_iter().map(successor).collect()
    }
}

fn service() -> name::Service {
    "lookup".parse().unwrap()
}

impl World {
    fn new(rule: Rule) -> Self {
        let mut world = Self {
            rule,
            now: Instant(Span::from_secs(100).0),
            fleet: Fleet::default(),
            leader: Leader::new(&BTreeMap::new(), Instant::default()),
            stored: Assignment::default(),
            copy: Assignment::default(),
            followed: Assignment::default(),
            targets: Default::default(),
            timeline: 0,
            is_current: true,
            uncertain_until: Instant::default(),
            violation: None,
        };
        for target in 0..TARGETS.len() {
            world.targets[target].start_ms = 1;
            world.register(target, false);
        }
        world.run(RUN_TIME);
        world.run(RUN_TIME);
        world.copy = world.stored.clone();
        world.followed = world.stored.clone();
        for step in [Step::Drain(0), Step::Run, Step::Return(0), Step::Run] {
            world.step(step);
        }
        world
    }

    /// Creates a world whose copy has a move that was replaced since, before its target got the keys.
    fn with_replaced_move(rule: Rule) -> Self {
        let mut world = Self::new(rule);
        for step in [Step::Drain(0), Step::Write, Step::Copy, Step::Follow] {
            world.step(step);
        }
        for step in [Step::Return(0), Step::Drain(1), Step::Run, Step::Return(1)] {
            world.step(step);
        }
        world
    }

    fn incarnation(&self, target: usize) -> Incarnation {
        Incarnation {
            id: TARGETS[target].parse().unwrap(),
            start_ms: self.targets[target].start_ms,
            address: ([127, 0, 0, 1], 1_000 + target as u16).into(),
        }
    }

    fn register(&mut self, target: usize, is_draining: bool) {
        let incarnation = self.incarnation(target);
        let id = incarnation.id.clone();
        let registration = Registration {
            incarnation,
            service: service(),
            data_centre: "north".parse().unwrap(),
            slots: 6,
            is_draining,
            cold: Span::ZERO,
            sequence: 0,
        };
        self.fleet.apply(self.now, &id, Some(registration));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Run => self.run(RUN_TIME),
            Step::RunLong => self.run(LONG_RUN_TIME),
            Step::Write => self.run_until_written(),
            Step::Drain(target) => self.register(target, true),
            Step::Return(target) => self.register(target, false),
            Step::Restart(target) => {
                let restarted = &mut self.targets[target];
                *restarted = Target {
                    start_ms: restarted.start_ms + 1,
                    accepted: std::mem::take(&mut restarted.accepted),
                    ..Target::default()
                };
                // The leader learns it with the list of targets.
                self.is_current = false;
            }
            Step::Copy => self.copy = self.stored.clone(),
            Step::Follow => self.followed = self.stored.clone(),
            Step::Restore => self.restore(self.stored.clone(), true),
            Step::RestoreAndReplace => self.restore(self.followed.clone(), false),
            Step::Replace => self.replace(self.is_uncertain()),
        }
    }

    fn restore(&mut self, memory: Assignment, is_complete: bool) {
        self.timeline += 1;
        let ranges = [self.copy.ranges.clone(), memory.ranges].concat();
        self.stored = Assignment::merge(ranges);
        self.stored.recover(self.min_epoch());
        self.is_current = false;
        // A leader that may itself lack ranges knows no more than the store.
        let is_uncertain = !is_complete || self.is_uncertain();
        self.replace(is_uncertain);
        if self.rule != Rule::List && !is_uncertain {
            self.leader = self.leader.clone().recovered(true);
        }
    }

    fn is_uncertain(&self) -> bool {
        self.now < self.uncertain_until
    }

    fn replace(&mut self, is_uncertain: bool) {
        let assignments = BTreeMap::from([(service(), self.stored.clone())]);
        let end = leader::expiry(self.now + LEASE, MAX_HOLD);
        self.leader = Leader::new(&assignments, end);
        if is_uncertain {
            self.uncertain_until = end;
        }
        if is_uncertain && self.rule != Rule::List {
            let is_trusted = self.rule == Rule::Confirmation;
            self.leader = self.leader.clone().recovered(is_trusted);
        }
    }

    fn min_epoch(&self) -> u64 {
        match self.rule {
            Rule::Epochs => 0,
            _ => self.timeline << 32,
        }
    }

    /// Lets the leader act. The list of targets arrives after the first ticks.
    fn run(&mut self, time: Span) {
        let end = self.now + time;
        let listed_at = self.now + TICK.scale(4, 1);
        while self.now < end && self.violation.is_none() {
            if self.now >= listed_at && !self.is_current {
                self.read_list();
            }
            self.tick();
            self.now = self.now + TICK;
        }
    }

    fn run_until_written(&mut self) {
        let written = self.stored.clone();
        let end = self.now + RUN_TIME;
        while self.now < end && self.stored == written && self.violation.is_none() {
            self.run(TICK);
        }
    }

    fn read_list(&mut self) {
        self.is_current = true;
        for target in 0..TARGETS.len() {
            let known = self.fleet.get(&self.incarnation(target).id);
            let is_draining = known.is_some_and(|known| known.registration.is_draining);
            let start_ms = known.map(|known| known.registration.incarnation.start_ms);
            if start_ms != Some(self.targets[target].start_ms) {
                self.register(target, is_draining);
            }
        }
    }

    fn tick(&mut self) {
        let actions = self.leader.tick(&Tick {
            now: self.now,
            fleet: &self.fleet,
            traffic: &BTreeMap::new(),
            work_time: &|_| 1.0,
            rate_limit: &|_| None,
            min_epoch: self.min_epoch(),
            services: &[service()],
            hold: HOLD,
            is_current: self.is_current,
        });
        for action in actions {
            match action {
                Action::Write(changes) => {
                    changes
                        .into_values()
                        .flatten()
                        .for_each(|range| self.stored.upsert(range));
                    self.leader.confirm_write();
                }
                Action::Send(order) => {
                    let response = self.carry_out(&order);
                    self.leader.record_response(self.now, &order, response);
                }
                Action::Log(_) | Action::Resign => {}
            }
        }
    }

    fn carry_out(&mut self, order: &Order) -> Response {
        let index = TARGETS
            .iter()
            .position(|id| *id == order.target.id.as_str());
        let index = index.unwrap();
        let grant = |until| Grant {
            first: order.first,
            last: order.last,
            epoch: order.fence,
            until,
        };
        let overlaps = |other: &Grant| other.first <= order.last && order.first <= other.last;
        let now = self.now;
        match order.operation {
            Operation::Release => {
                let target = &mut self.targets[index];
                target.held.retain(|held| !overlaps(held));
                target.seen.push(grant(now));
                Response::Done(Some("token".to_owned()))
            }
            Operation::Grant { hold, .. } => {
                let mut seen = self.targets[index].seen.iter();
                if seen.any(|seen| overlaps(seen) && seen.epoch > order.fence) {
                    return Response::Refused;
                }
                self.check(index, order);
                let target = &mut self.targets[index];
                target
                    .held
                    .retain(|held| held.until > now && !overlaps(held));
                target.held.push(grant(now + hold.scale(102, 100)));
                target.seen.push(grant(now));
                target.accepted.push(grant(now));
                Response::Done(None)
            }
        }
    }

    /// Notes a violation if another target may hold a key of a grant.
    fn check(&mut self, index: usize, order: &Order) {
        let other = &self.targets[1 - index];
        let overlaps = |held: &&Grant| held.first <= order.last && order.first <= held.last;
        let mut held = other.held.iter().filter(overlaps);
        if held.any(|held| held.until > self.now) {
            self.violation = Some(format!("two owners: {order:?}"));
        }
        let mut accepted = other.accepted.iter().filter(overlaps);
        if accepted.any(|accepted| accepted.epoch >= order.fence) {
            self.violation = Some(format!("lower epoch: {order:?}"));
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let violation = self.world.violation.as_deref().unwrap_or("no violation");
        write!(f, "{:?}: {violation}", self.schedule)
    }
}

/// Returns the first violation, and the number of states searched.
fn search(start: World) -> (Option<State>, usize) {
    let start = State::new(start, Vec::new());
    let mut count = 0;
    let mut reached = bfs_reach(start, State::successors);
    let found = reached.find(|state| {
        count += 1;
        state.world.violation.is_some()
    });
    (found, count)
}

struct Case {
    start: fn(Rule) -> World,
    rule: Rule,
    violated: bool,
}

/// Guards against a schedule around restores of the store in which two targets hold a key, and
/// against a model that finds none.
#[test]
fn no_schedule_of_restores_gives_a_key_two_owners() {
    let cases = [
        Case {
            start: World::new,
            rule: Rule::None,
            violated: false,
        },
        Case {
            start: World::new,
            rule: Rule::Epochs,
            violated: true,
        },
        Case {
            start: World::new,
            rule: Rule::Confirmation,
            violated: true,
        },
        Case {
            start: World::new,
            rule: Rule::List,
            violated: true,
        },
        Case {
            start: World::with_replaced_move,
            rule: Rule::None,
            violated: false,
        },
    ];
    for case in cases {
        let (found, count) = search((case.start)(case.rule));
        println!("{:?}: {count} states", case.rule);
        let text = found.as_ref().map(State::to_string);
        assert_eq!(found.is_some(), case.violated, "{:?}: {text:?}", case.rule);
    }
}
