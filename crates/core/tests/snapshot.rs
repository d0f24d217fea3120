//! Snapshots: their parts, the assembly of the parts, and when a node writes a snapshot.

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

/// Guards against a ledger that changes when it is written to a snapshot and read back, in one part
/// or in several.
#[test]
fn a_snapshot_restores_the_state() {
    for count in [0, 1, 4_000] {
        let ledger = ledger(count);
        let records = snapshot::records(&ledger).expect("the state can be encoded");
        assert_eq!(records.len() > 1, count > 1_000);
        let mut assembler = Assembler::default();
        let last = records.len() - 1;
        for (number, record) in records.into_iter().enumerate() {
            let Record::Snapshot { bytes, .. } = &record else {
                panic!("a snapshot consists of its own records");
            };
            assert!(bytes.len() <= MAX_PART_BYTES);
            let restored = assembler.add(&entry(1, "a", record));
            let restored = restored.map(|result| result.expect("the parts form a valid snapshot"));
            assert_eq!(restored, (number == last).then(|| ledger.clone()));
        }
    }
}

/// Guards against a ledger that is assembled from parts of two writers, and against parts that are
/// damaged or name another offset than their ledger's.
#[test]
fn only_complete_snapshots_of_one_writer_count() {
    let large = ledger(4_000);
    let records = snapshot::records(&large).expect("the state can be encoded");
    let mut assembler = Assembler::default();
    for record in &records[..records.len() - 1] {
        assert!(assembler.add(&entry(1, "a", record.clone())).is_none());
    }
    let last = records.last().expect("there are parts");
    assert!(assembler.add(&entry(2, "b", last.clone())).is_none());
    let restored = assembler.add(&entry(3, "a", last.clone()));
    assert_eq!(restored, Some(Ok(large)));
    let damaged = Record::Snapshot {
        at: Offset(3),
        part: 0,
        parts: 1,
        bytes: vec![0xff; 9],
    };
    assert!(matches!(
        assembler.add(&entry(4, "a", damaged)),
        Some(Err(_))
    ));
    let bytes = snapshot::encode(&ledger(2)).expect("the state can be encoded");
    let other = Record::Snapshot {
        at: Offset(3),
        part: 0,
        parts: 1,
        bytes,
    };
    assert!(matches!(assembler.add(&entry(5, "a", other)), Some(Err(_))));
}

/// A node that is the only process, with the log that it writes.
struct Single {
    node: Node,
    now: Instant,
    end: u64,
}

impl Single {
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
        let mut single = Self { node, now, end: 0 };
        single.read(vec![entry(
            1 << 90,
            "robin",
            Record::Table {
                base: Version(0),
                table,
            },
        )]);
        single
    }

    /// Delivers entries to the node, then the entries that it appends, until it appends none.
    /// Returns the offsets of its snapshots.
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

    /// Advances the time in steps of 250 ms, with a log proof at each step. Returns the offsets of
    /// the node's snapshots.
    fn advance(&mut self, span: Span) -> Vec<Offset> {
        let end = self.now + span;
        let mut snapshots = Vec::new();
        while self.now < end {
            self.now = self.now + Span::from_millis(250);
            snapshots.extend(self.read(Vec::new()));
        }
        snapshots
    }
}

/// Guards against a busy log whose records expire before a snapshot is due by time: a number of
/// records makes one due as well.
#[test]
fn a_snapshot_is_due_after_a_number_of_records() {
    let interval = Span::from_secs(86_400);
    let mut single = Single::new(Policy {
        records: 50,
        interval,
    });
    single.advance(Span::from_secs(2));
    let few = (0..40).map(|n| entry((2 << 90) + n, "robin", host(1)));
    assert_eq!(single.read(few.collect()), []);
    assert_eq!(single.advance(Span::from_secs(2)), []);
    let more = (0..10).map(|n| entry((3 << 90) + n, "robin", host(1)));
    let mut snapshots = single.read(more.collect());
    snapshots.extend(single.advance(Span::from_secs(2)));
    assert_eq!(snapshots.len(), 1);
    assert!(snapshots[0] >= Offset(50));
    assert_eq!(single.advance(Span::from_secs(60)), []);
}

/// Guards against records of an idle log that expire before a snapshot contains them, also if the
/// process restarts often: the first interval is a quarter.
#[test]
fn a_snapshot_is_due_after_a_time() {
    let interval = Span::from_secs(400);
    let mut single = Single::new(Policy {
        records: 10_000,
        interval,
    });
    assert_eq!(single.advance(Span::from_secs(95)), []);
    assert_eq!(
        single.advance(Span::from_secs(10)).len(),
        1,
        "a quarter of the interval at first"
    );
    assert_eq!(single.advance(Span::from_secs(390)), []);
    assert_eq!(single.advance(Span::from_secs(20)).len(), 1);
}

/// Guards against a late snapshot that replaces the ledger by an older one.
#[test]
fn an_older_snapshot_is_ignored() {
    let interval = Span::from_secs(400);
    let mut single = Single::new(Policy {
        records: 10_000,
        interval,
    });
    let before = single.node.ledger().clone();
    let older = Event::Restore(Box::default());
    single.node.handle(single.now, older, &mut Vec::new());
    assert_eq!(*single.node.ledger(), before);
    let newer = ledger(500);
    let event = Event::Restore(Box::new(newer.clone()));
    single.node.handle(single.now, event, &mut Vec::new());
    assert_eq!(*single.node.ledger(), newer);
}

const ORDERS: &str = r#"{
    "data_centres": [{"name": "north", "region": "plain"}],
    "services": [{
        "name": "orders", "slots": 6, "connections": 110, "deadline": "1s", "id_window": "5m",
        "divided_by_key": true,
        "targets": [{"name": "orders-1", "address": "127.0.0.1:1", "data_centre": "north"}]
    }]
}"#;

/// Guards against request ids that are removed within their window, so that a request runs twice,
/// and against ids that are never removed.
#[test]
fn a_request_id_is_forgotten_after_its_window() {
    let table = table_file::parse(ORDERS).expect("the table is valid");
    let interval = Span::from_secs(240);
    let mut single = Single::with_table(
        Policy {
            records: 10_000,
            interval,
        },
        table,
    );
    single.advance(Span::from_secs(2));
    let target = "orders-1".parse().expect("the name is valid");
    let contract = &single.node.ledger().contracts()[&target];
    let request = request::Id::default();
    let intent = Record::Intent {
        target,
        epoch: contract.epoch,
        requests: vec![request],
    };
    // Written by an earlier holder, because a node withdraws its own unused intents.
    single.read(vec![entry(5 << 90, "entry-2/1", intent)]);
    let written = single.now;
    let mut forgotten = None;
    while forgotten.is_none() && single.now < written + Span::from_secs(1_000) {
        single.advance(Span::from_secs(1));
        let known = single.node.ledger().intent(&request).is_some();
        forgotten = (!known).then(|| single.now.since(written));
    }
    let after = forgotten.expect("the id is forgotten");
    assert!(after >= Span::from_secs(300), "{after}");
    assert!(after <= Span::from_secs(300 + 240 + 61 + 5), "{after}");
}
