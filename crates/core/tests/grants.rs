//! Tests of the time from which keys may move away from a target that checks epochs.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    action::Action,
    event::{Event, Probe, Read},
    name,
    node::{Config, Node},
    number::{Offset, Version},
    process::Process,
    record::{Entry, Id, Record, State},
    table_file,
    time::{Instant, Span},
    times::Times,
};

const TABLE: &str = r#"{
    "data_centres": [{"name": "north", "region": "plain"}],
    "services": [{
        "name": "orders", "slots": 6, "connections": 110, "deadline": "10s", "slices": 8,
        "divided_by_key": true,
        "targets": [
            {"name": "first", "address": "127.0.0.1:1", "data_centre": "north", "checks_epoch": true},
            {"name": "second", "address": "127.0.0.1:2", "data_centre": "north", "checks_epoch": true}
        ]
    }]
}"#;

const TICK: Span = Span::from_millis(20);

fn process(text: &str) -> Process {
    text.parse().expect("the process is valid")
}

fn target(text: &str) -> name::Target {
    text.parse().expect("the name is valid")
}

fn entry(id: u128, record: Record) -> Entry {
    Entry {
        id: Id(id),
        actor: "robin".to_owned(),
        reason: "test".to_owned(),
        written_ms: 1,
        record,
    }
}

/// A node with a log that answers at once.
struct Harness {
    node: Node,
    now: Instant,
    end: Offset,
    /// Whether the log answers.
    has_log: bool,
    /// Targets that do not answer probes.
    silent: BTreeSet<name::Target>,
    /// Start identifiers of the targets, 1 if none is stated.
    runs: BTreeMap<name::Target, u64>,
    /// Answers to probes: the target, its start identifier and its clock.
    answers: BTreeSet<(name::Target, u64, u64)>,
    /// Latest grant to each target: when it was sent and how long it lasts.
    grants: BTreeMap<name::Target, (Instant, Span)>,
    /// Start identifier in the latest grant to each target.
    granted: BTreeMap<name::Target, u64>,
    /// When the first move away from each target was submitted.
    moved: BTreeMap<name::Target, Instant>,
}

impl Harness {
    fn new() -> Self {
        let node = Node::new(Config {
            process: process("entry-1/1"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "north".parse().expect("the name is valid"),
            times: Times::default(),
        });
        let mut harness = Self {
            node,
            now: Instant(Span::from_secs(100).0),
            end: Offset(0),
            has_log: true,
            silent: BTreeSet::new(),
            runs: BTreeMap::new(),
            answers: BTreeSet::new(),
            grants: BTreeMap::new(),
            granted: BTreeMap::new(),
            moved: BTreeMap::new(),
        };
        let table = table_file::parse(TABLE).expect("the table is valid");
        let base = Version(0);
        let actions = harness.read(vec![entry(1, Record::Table { base, table })]);
        harness.perform(actions);
        harness
    }

    fn read(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        let offsets = (self.end.0 + 1..).map(Offset);
        let rows: Vec<_> = offsets.zip(entries).collect();
        self.end = Offset(self.end.0 + rows.len() as u64);
        let read = Read {
            sent: self.now,
            end: self.end,
            rows,
        };
        self.handle(Event::Read(read))
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    fn probe(&mut self, target: &name::Target) -> Vec<Action> {
        let answer = match self.silent.contains(target) {
            true => Probe::Silent,
            false => {
                let start_id = self.runs.get(target).copied().unwrap_or(1);
                // The clock of a later run shows less.
                let clock_ms = Span(self.now.0).as_millis() / start_id;
                self.answers.insert((target.clone(), start_id, clock_ms));
                Probe::Answered {
                    start_id,
                    load: 0,
                    clock_ms,
                }
            }
        };
        let target = target.clone();
        self.handle(Event::Probed { target, answer })
    }

    /// Carries out actions, and those that follow from them.
    fn perform(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut entries = Vec::new();
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::Append(entry) => entries.push(entry),
                    Action::Probe { target, .. } => next.extend(self.probe(&target)),
                    Action::Grant { target, grant, .. } => {
                        self.check_lease(&target, grant.ttl);
                        let named = (target.clone(), grant.start_id, grant.from_ms);
                        assert!(self.answers.contains(&named), "no probe showed {named:?}");
                        self.grants.insert(target.clone(), (self.now, grant.ttl));
                        self.granted.insert(target.clone(), grant.start_id);
                        let epoch = grant.epoch;
                        let accepted = true;
                        next.extend(self.handle(Event::Granted {
                            target,
                            epoch,
                            accepted,
                        }));
                    }
                    _ => {}
                }
            }
            for entry in &entries {
                if let Record::Move { from, .. } = &entry.record {
                    self.moved.entry(from.clone()).or_insert(self.now);
                }
            }
            if self.has_log && !entries.is_empty() {
                next.extend(self.read(entries));
            }
            actions = next;
        }
    }

    fn check_lease(&self, target: &name::Target, ttl: Span) {
        let ownership = self.node.ownership();
        let lease_end = ownership.lease_end(target, &Times::default());
        let grant_end = self.now + ttl;
        assert!(
            Some(grant_end) <= lease_end,
            "a grant ends at {grant_end:?}, after the lease of its sender, {lease_end:?}"
        );
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        if self.has_log {
            let actions = self.read(Vec::new());
            self.perform(actions);
        }
        let actions = self.handle(Event::Tick);
        self.perform(actions);
    }

    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    /// Lets a peer hold and release a target.
    fn release_by_peer(&mut self, name: &name::Target) {
        let targets = vec![(name.clone(), None)];
        let claim = Record::Claim {
            holder: process("entry-2/2"),
            targets,
            standbys: Vec::new(),
        };
        let actions = self.read(vec![entry(2, claim)]);
        let epoch = self.node.ledger().contracts()[name].epoch;
        let targets = vec![(name.clone(), epoch, 0)];
        self.perform(actions);
        let actions = self.read(vec![entry(3, Record::Release { targets })]);
        self.perform(actions);
    }
}

/// Guards against a grant that lets a target serve after the lease of the process that sent it, when
/// the next holder may move the target's keys.
#[test]
fn grants_end_with_the_lease_of_their_sender() {
    let mut harness = Harness::new();
    harness.pass(Span::from_secs(3));
    harness.has_log = false;
    harness.grants.clear();
    harness.pass(Span::from_secs(2));
    assert!(!harness.grants.is_empty(), "no grant was sent");
}

/// Guards against a grant that names the clock of a run without the run, or one beside the clock of the
/// other: a target that has restarted could not refuse it.
#[test]
fn grants_name_the_run_whose_clock_they_name() {
    let mut harness = Harness::new();
    let first = target("first");
    harness.pass(Span::from_secs(3));
    for run in [2, 3] {
        harness.runs.insert(first.clone(), run);
        harness.pass(Span::from_secs(1));
        assert_eq!(harness.granted.get(&first), Some(&run));
    }
}

/// Guards against keys that move to another target while the grant of an earlier holder still lets
/// their target serve: the next holder counted only grants of its own.
#[test]
fn keys_do_not_move_before_the_grants_of_an_earlier_holder_end() {
    let mut harness = Harness::new();
    let first = target("first");
    harness.silent.insert(first.clone());
    harness.release_by_peer(&first);
    let released = harness.now;
    harness.pass(Span::from_secs(10));
    let moved = harness.moved.get(&first).copied();
    let moved = moved.expect("the keys of the silent target move");
    // The earlier holder may have sent its last grant as late as its release.
    let earliest = released + Times::default().outlast(Times::default().grant);
    assert!(moved >= earliest, "moved at {moved:?}, before {earliest:?}");
}

/// Guards against keys that wait for the grants of an earlier holder at a target that refuses them.
#[test]
fn keys_leave_a_target_that_accepted_a_later_epoch_without_a_wait() {
    let mut harness = Harness::new();
    let first = target("first");
    harness.release_by_peer(&first);
    let released = harness.now;
    let drain = Record::Target {
        name: first.clone(),
        state: State::Out,
        after: harness.end,
    };
    let actions = harness.read(vec![entry(4, drain)]);
    harness.perform(actions);
    harness.pass(Span::from_secs(10));
    let moved = harness.moved.get(&first).copied();
    let moved = moved.expect("the keys of the draining target move");
    let latest = released + Times::default().short_wait();
    assert!(moved < latest, "moved at {moved:?}, not before {latest:?}");
}

/// Guards against keys that move to another target while a grant that was sent to the earlier run of
/// their target lasts: the next run may have received it.
#[test]
fn keys_do_not_move_before_the_grants_sent_before_a_restart_end() {
    let mut harness = Harness::new();
    let first = target("first");
    harness.pass(Span::from_secs(5));
    // The target restarts right after a grant, answers one probe and falls silent.
    harness.grants.remove(&first);
    while !harness.grants.contains_key(&first) {
        harness.tick();
    }
    harness.runs.insert(first.clone(), 2);
    let actions = harness.probe(&first);
    harness.silent.insert(first.clone());
    let silent = harness.probe(&first);
    harness.perform(actions);
    harness.perform(silent);
    harness.pass(Span::from_secs(10));
    let (sent, ttl) = harness.grants[&first];
    let moved = harness.moved.get(&first).copied();
    let moved = moved.expect("the keys of the silent target move");
    let earliest = sent + Times::default().outlast(ttl);
    assert!(moved >= earliest, "moved at {moved:?}, before {earliest:?}");
}
