//! Snapshots: parts, the reader that collects them, and when a node writes one.

use ragwortrill_core::{
    action::Action,
    event::{Event, Read},
    ledger::Ledger,
    node::{Config, Node},
    number::{Offset, Version},
    record::{Entry, Id, Record, State},
    request,
    snapshot::{self, Assembler, MAX_PART_BYTES, Policy},
    table::Table,
    table_file,
    time::{Instant, Span},
    times::Times,
};

fn entry(id: u128, actor: &str, record: Record) -> Entry {
    Entry {
        id: Id(id),
        actor: actor.to_owned(),
        reason: "test".to_owned(),
        written_ms: 1,
        record,
    }
}

fn host(number: u64) -> Record {
    Record::Host {
        name: format!("host-{number}").parse().expect("the name is valid"),
        state: State::Out,
        after: Offset(0),
    }
}

fn ledger(records: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for number in 1..=records {
        let entry = entry(u128::from(number), "robin", host(number));
        ledger.apply(Offset(number), &entry);
    }
    ledger
}

/// Guards against a state that a snapshot changes or loses, in one part or in several.
#[test]
fn a_snapshot_restores_the_state() {
    for count in [0, 1, 4_000] {
        let ledger = ledger(count);
        let records = snapshot::records(&ledger).expect("the state can be encoded");
        assert_eq!(records.len() > 1, count > 1_000);
        let mut gather = Assembler::default();
        let last = records.len() - 1;
        for (number, record) in records.into_iter().enumerate() {
            let Record::Snapshot { bytes, .. } = &record else {
                panic!("a snapshot consists of its own records");
            };
            assert!(bytes.len() <= MAX_PART_BYTES);
            let restored = gather.add(&entry(1, "a", record));
            let restored = restored.map(|result| result.expect("the parts are whole"));
            assert_eq!(restored, (number == last).then(|| ledger.clone()));
        }
    }
}

/// Guards against a state mixed from two writers, and against damaged or mislabelled parts.
#[test]
fn only_whole_snapshots_of_one_writer_count() {
    let large = ledger(4_000);
    let records = snapshot::records(&large).expect("the state can be encoded");
    let mut gather = Assembler::default();
    for record in &records[..records.len() - 1] {
        assert!(gather.add(&entry(1, "a", record.clone())).is_none());
    }
    let last = records.last().expect("there are parts");
    assert!(gather.add(&entry(2, "b", last.clone())).is_none());
    let whole = gather.add(&entry(3, "a", last.clone()));
    assert_eq!(whole, Some(Ok(large)));
    let damaged = Record::Snapshot {
        at: Offset(3),
        part: 0,
        parts: 1,
        bytes: vec![0xff; 9],
    };
    assert!(matches!(gather.add(&entry(4, "a", damaged)), Some(Err(_))));
    let bytes = snapshot::encode(&ledger(2)).expect("the state can be encoded");
    let other = Record::Snapshot {
        at: Offset(3),
        part: 0,
        parts: 1,
        bytes,
    };
    assert!(matches!(gather.add(&entry(5, "a", other)), Some(Err(_))));
}

/// A node that is the only process, with the log that it writes.
struct Alone {
    node: Node,
    now: Instant,
    end: u64,
}

impl Alone {
    fn new(policy: Policy) -> Self {
        Self::with_table(policy, Table::default())
    }

    fn with_table(policy: Policy, table: Table) -> Self {
        let config = Config {
            process: "entry-1/1".parse().expect("the process is valid"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "north".parse().expect("the name is valid"),
            times: Times::default(),
        };
        let node = Node::new(config).with_snapshots(policy);
        let now = Instant(Span::from_secs(100).0);
        let mut alone = Self { node, now, end: 0 };
        alone.read(vec![entry(
            1 << 90,
            "robin",
            Record::Table {
                base: Version(0),
                table,
            },
        )]);
        alone
    }

    /// Lets the node read entries, and all that it appends then. Returns its snapshots' offsets.
    fn read(&mut self, mut entries: Vec<Entry>) -> Vec<Offset> {
        let mut snapshots = Vec::new();
        loop {
            let first = self.end + 1;
            self.end += entries.len() as u64;
            let rows = (first..).map(Offset).zip(entries).collect();
            let read = Read {
                sent: self.now,
                end: Offset(self.end),
                rows,
            };
            let mut actions = Vec::new();
            self.node.handle(self.now, Event::Read(read), &mut actions);
            self.node.handle(self.now, Event::Tick, &mut actions);
            let appended = actions.into_iter().filter_map(|action| match action {
                Action::Append(entry) => Some(entry),
                _ => None,
            });
            entries = appended.collect();
            snapshots.extend(entries.iter().filter_map(|entry| match entry.record {
                Record::Snapshot { at, part: 0, .. } => Some(at),
                _ => None,
            }));
            if entries.is_empty() {
                return snapshots;
            }
            self.now = self.now + Span::from_millis(250);
        }
    }

    /// Lets time pass in steps of 250 ms, with a log proof at each. Returns the snapshots' offsets.
    fn pass(&mut self, span: Span) -> Vec<Offset> {
        let end = self.now + span;
        let mut snapshots = Vec::new();
        while self.now < end {
            self.now = self.now + Span::from_millis(250);
            snapshots.extend(self.read(Vec::new()));
        }
        snapshots
    }
}

/// Guards against snapshots that come too late for a busy log.
#[test]
fn a_snapshot_is_due_after_a_number_of_records() {
    let interval = Span::from_secs(86_400);
    let mut alone = Alone::new(Policy {
        records: 50,
        interval,
    });
    alone.pass(Span::from_secs(2));
    let few = (0..40).map(|n| entry((2 << 90) + n, "robin", host(1)));
    assert_eq!(alone.read(few.collect()), []);
    assert_eq!(alone.pass(Span::from_secs(2)), []);
    let more = (0..10).map(|n| entry((3 << 90) + n, "robin", host(1)));
    let mut snapshots = alone.read(more.collect());
    snapshots.extend(alone.pass(Span::from_secs(2)));
    assert_eq!(snapshots.len(), 1);
    assert!(snapshots[0] >= Offset(50));
    assert_eq!(alone.pass(Span::from_secs(60)), []);
}

/// Guards against records that expire on a quiet log before a snapshot has them, also if the
/// process restarts often.
#[test]
fn a_snapshot_is_due_after_a_time() {
    let interval = Span::from_secs(400);
    let mut alone = Alone::new(Policy {
        records: 10_000,
        interval,
    });
    assert_eq!(alone.pass(Span::from_secs(95)), []);
    assert_eq!(
        alone.pass(Span::from_secs(10)).len(),
        1,
        "a quarter of the interval at first"
    );
    assert_eq!(alone.pass(Span::from_secs(390)), []);
    assert_eq!(alone.pass(Span::from_secs(20)).len(), 1);
}

/// Guards against a late snapshot that takes the state back.
#[test]
fn an_older_snapshot_is_ignored() {
    let interval = Span::from_secs(400);
    let mut alone = Alone::new(Policy {
        records: 10_000,
        interval,
    });
    let before = alone.node.ledger().clone();
    let older = Event::Restore(Box::default());
    alone.node.handle(alone.now, older, &mut Vec::new());
    assert_eq!(*alone.node.ledger(), before);
    let newer = ledger(500);
    let event = Event::Restore(Box::new(newer.clone()));
    alone.node.handle(alone.now, event, &mut Vec::new());
    assert_eq!(*alone.node.ledger(), newer);
}

const ORDERS: &str = r#"{
    "data_centres": [{"name": "north", "region": "plain"}],
    "services": [{
        "name": "orders", "slots": 6, "connections": 110, "deadline": "1s", "id_window": "5m",
        "divided_by_key": true,
        "targets": [{"name": "orders-1", "address": "127.0.0.1:1", "data_centre": "north"}]
    }]
}"#;

/// Guards against request ids that are forgotten within their window, so that an order runs
/// twice, and against ids that are kept for ever.
#[test]
fn a_request_id_is_forgotten_after_its_window() {
    let table = table_file::parse(ORDERS).expect("the table is valid");
    let interval = Span::from_secs(240);
    let mut alone = Alone::with_table(
        Policy {
            records: 10_000,
            interval,
        },
        table,
    );
    alone.pass(Span::from_secs(2));
    let target = "orders-1".parse().expect("the name is valid");
    let contract = &alone.node.ledger().contracts()[&target];
    let request = request::Id::default();
    let intent = Record::Intent {
        target,
        epoch: contract.epoch,
        requests: vec![request],
    };
    // Written by an earlier holder: a node withdraws intents of its own that it did not use.
    alone.read(vec![entry(5 << 90, "entry-2/1", intent)]);
    let written = alone.now;
    let mut forgotten = None;
    while forgotten.is_none() && alone.now < written + Span::from_secs(1_000) {
        alone.pass(Span::from_secs(1));
        let known = alone.node.ledger().intent(&request).is_some();
        forgotten = (!known).then(|| alone.now.since(written));
    }
    let after = forgotten.expect("the id is forgotten");
    assert!(after >= Span::from_secs(300), "{after}");
    assert!(after <= Span::from_secs(300 + 240 + 61 + 5), "{after}");
}
