//! Tests of submitted moves whose record a node does not read, since it goes on from a snapshot.

use ragwortrill_core::{
    action::Action,
    event::{Arrival, Event, Head, Probe, Read, Ticket},
    key::Digest,
    ledger::{Effect, Ledger},
    name,
    node::{Config, Node},
    number::{Epoch, Offset, Version},
    process::Process,
    record::{Entry, Id, Record, Share, State},
    request, table_file,
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

/// Time for which the node is observed after it has read the snapshot.
const OBSERVATION: Span = Span::from_secs(1);

fn process(text: &str) -> Process {
    text.parse().expect("the process is valid")
}

fn target(text: &str) -> name::Target {
    text.parse().expect("the name is valid")
}

fn service() -> name::Service {
    "orders".parse().expect("the name is valid")
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

/// A node that holds both targets, with a log that answers at once but holds moves back.
struct Harness {
    node: Node,
    now: Instant,
    end: Offset,
    /// Moves that the node has submitted.
    moves: Vec<Entry>,
    /// Requests that were sent, with their targets.
    sent: Vec<(Ticket, name::Target)>,
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
            moves: Vec::new(),
            sent: Vec::new(),
        };
        let table = table_file::parse(TABLE).expect("the table is valid");
        let base = Version(0);
        harness.read(vec![entry(1, Record::Table { base, table })]);
        harness
    }

    fn read(&mut self, entries: Vec<Entry>) {
        let offsets = (self.end.0 + 1..).map(Offset);
        let rows: Vec<_> = offsets.zip(entries).collect();
        self.end = Offset(self.end.0 + rows.len() as u64);
        self.handle(Event::Read(Read {
            sent: self.now,
            end: self.end,
            rows,
        }));
    }

    /// Handles an event and carries out the actions that follow from it.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        let mut entries = Vec::new();
        for action in actions {
            match action {
                Action::Append(entry) if matches!(entry.record, Record::Move { .. }) => {
                    self.moves.push(entry);
                }
                Action::Append(entry) => entries.push(entry),
                Action::Dispatch(dispatch) => self.sent.push((dispatch.ticket, dispatch.target)),
                Action::Probe { target, .. } => {
                    let answer = Probe::Answered {
                        start_id: 1,
                        load: 0,
                        clock_ms: 1,
                    };
                    self.handle(Event::Probed { target, answer });
                }
                Action::Grant { target, grant, .. } => self.handle(Event::Granted {
                    target,
                    epoch: grant.epoch,
                    accepted: true,
                }),
                _ => {}
            }
        }
        if !entries.is_empty() {
            self.read(entries);
        }
    }

    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(20);
            self.read(Vec::new());
            self.handle(Event::Tick);
        }
    }

    /// Returns the move that the node submits when the first target drains.
    fn drain_first(&mut self) -> Entry {
        self.pass(Span::from_secs(3));
        let state = State::Out;
        self.read(vec![entry(2, change(self.node.ledger(), state))]);
        self.pass(Span::from_secs(3));
        assert_eq!(self.moves.len(), 1, "one move is submitted");
        self.moves.remove(0)
    }

    /// Replaces the node's state by that after further records.
    fn restore(&mut self, entries: Vec<Entry>) {
        let mut ledger = self.node.ledger().clone();
        for entry in entries {
            ledger.apply(ledger.offset().next(), &entry);
        }
        self.end = ledger.offset();
        self.handle(Event::Restore(Box::new(ledger)));
    }

    /// Sends a request for a key and returns the target that it reaches.
    fn request(&mut self, key: Digest) -> Option<name::Target> {
        let ticket = Ticket(7);
        self.handle(Event::Arrive(Arrival {
            ticket,
            head: Head {
                request: request::Id { key, number: 1 },
                service: service(),
                key: Some(key),
                idempotent: true,
                fingerprint: request::Fingerprint(1),
                caller: 1,
            },
            deadline: self.now + Span::from_secs(10),
            forwarded: false,
            min_offset: Offset(0),
        }));
        self.pass(OBSERVATION);
        let sent = self.sent.iter().find(|(sent, _)| *sent == ticket);
        sent.map(|(_, target)| target.clone())
    }
}

/// Returns the record that takes the first target out of service or back.
fn change(ledger: &Ledger, state: State) -> Record {
    Record::Target {
        name: target("first"),
        state,
        after: ledger.offset(),
    }
}

/// What the log has about the submitted move before the snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The move, and one of its shares that came back.
    Returned,
    /// The move, which is refused since its new owner is not in the table any more.
    Refused,
    /// Nothing yet.
    None,
}

/// Returns the records before the snapshot, of which the last takes the first target back.
fn records(outcome: Outcome, submitted: &Entry, ledger: &Ledger) -> Vec<Entry> {
    let mut latest = ledger.clone();
    let mut entries = Vec::new();
    let mut append = |entry: Entry, expected| {
        let offset = latest.offset().next();
        assert_eq!(latest.apply(offset, &entry), expected, "{entry:?}");
        entries.push(entry);
        latest.clone()
    };
    let after = match outcome {
        Outcome::Returned => {
            let moved = append(submitted.clone(), Effect::Applied);
            let epoch = moved.contracts()[&target("second")].epoch;
            let claim = Record::Claim {
                holder: process("entry-2/2"),
                targets: vec![(target("second"), Some(epoch))],
                standbys: Vec::new(),
            };
            let claimed = append(entry(3, claim), Effect::Applied);
            let back = Record::Move {
                service: service(),
                from: target("second"),
                epoch: Epoch(claimed.offset().0),
                shares: vec![(shares(submitted)[0], target("first"))],
                after: claimed.offset(),
            };
            append(entry(4, back), Effect::Applied)
        }
        Outcome::Refused => {
            let base = ledger.version();
            let mut table = ledger.table().clone();
            let row = table.services.get_mut(&service()).expect("the row exists");
            row.targets.remove(&target("second"));
            append(entry(3, Record::Table { base, table }), Effect::Applied);
            append(submitted.clone(), Effect::Conflict)
        }
        Outcome::None => {
            let host = Record::Host {
                name: "entry-9".parse().expect("the name is valid"),
                state: State::Out,
                after: Offset(0),
            };
            append(entry(3, host), Effect::Applied)
        }
    };
    append(entry(5, change(&after, State::In)), Effect::Applied);
    entries
}

fn shares(submitted: &Entry) -> Vec<Share> {
    match &submitted.record {
        Record::Move { shares, .. } => shares.iter().map(|(share, _)| *share).collect(),
        other => panic!("{other:?} is no move"),
    }
}

struct Case {
    outcome: Outcome,
    /// Whether the first target serves the first share of the move.
    is_served: bool,
}

/// Guards against a move that stays pending after its record was read as part of a snapshot, so that
/// nobody serves a share that is with its target again, and against one that counts as decided before.
#[test]
fn a_submitted_move_is_pending_until_its_record_is_in_the_ledger() {
    let case = |outcome, is_served| Case { outcome, is_served };
    let cases = [
        case(Outcome::Returned, true),
        case(Outcome::Refused, true),
        case(Outcome::None, false),
    ];
    for case in cases {
        let mut harness = Harness::new();
        let submitted = harness.drain_first();
        let entries = records(case.outcome, &submitted, harness.node.ledger());
        harness.restore(entries);
        let share = shares(&submitted)[0];
        let slices = harness.node.ledger().table().services[&service()].slices;
        let mut keys = (0_u64..).map(|number| Digest::new(&service(), &number.to_be_bytes()));
        let key = keys.find(|key| Share::Slice(key.slice(slices)) == share);
        let reached = harness.request(key.expect("each slice has keys"));
        let expected = case.is_served.then(|| target("first"));
        assert_eq!(reached, expected, "{:?}", case.outcome);
    }
}
