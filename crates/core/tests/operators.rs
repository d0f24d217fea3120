//! Reports of a node and validation of operators' changes, in virtual time.

use ragwortrill_core::{
    event::{Event, Message, Read},
    ledger::{Effect, Ledger},
    node::{Config, Node},
    number::{Offset, Version},
    process::Process,
    record::{Entry, Id, Record, State},
    report::{Change, Propagation},
    table::Table,
    time::{Instant, Span},
    times::Times,
    validation::Validity,
};

fn process(text: &str) -> Process {
    text.parse().expect("processes in tests are valid")
}

fn started(text: &str, port: u16) -> Record {
    Record::Started {
        process: process(text),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "north".parse().expect("the name is valid"),
        after: Offset(100),
    }
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

fn host(state: State) -> Record {
    let name = "entry-9".parse().expect("the name is valid");
    // The offset is beyond all records of the tests, so that no change counts as later.
    let after = Offset(100);
    Record::Host { name, state, after }
}

/// Creates a node that has read records with the identifiers 1, 2 and so on.
fn node(now: Instant, records: Vec<Record>) -> Node {
    let mut node = Node::new(Config {
        process: process("entry-1/1"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "north".parse().expect("the name is valid"),
        times: Times::default(),
    });
    let numbered = (1..).zip(records);
    let rows = numbered.map(|(n, record)| (Offset(n), entry(u128::from(n), record)));
    let rows: Vec<_> = rows.collect();
    let end = Offset(rows.len() as u64);
    let read = Read {
        sent: now,
        end,
        rows,
    };
    node.handle(now, Event::Read(read), &mut Vec::new());
    node
}

fn deliver_heartbeat(node: &mut Node, now: Instant, from: &str, offset: u64, hash: u64) {
    let message = Message::Heartbeat {
        sent: now,
        offset: Offset(offset),
        hash,
        epochs: Vec::new(),
        reports: Vec::new(),
        stopping: false,
    };
    let from = process(from);
    node.handle(now, Event::Received { from, message }, &mut Vec::new());
}

/// Offset in a peer's heartbeat, its age, and whether a record at offset 3 has taken effect
/// everywhere.
struct Case {
    offset: Option<u64>,
    age: Span,
    lost: bool,
    everywhere: bool,
}

/// Guards against a change that is reported as effective everywhere while a live daemon has not
/// applied it, and against one that waits for a daemon that has ended.
#[test]
fn a_change_is_effective_once_all_live_daemons_report_its_offset() {
    let case = |offset, age, lost, everywhere| Case {
        offset,
        age,
        lost,
        everywhere,
    };
    let cases = [
        case(Some(2), Span::ZERO, false, false),
        case(Some(3), Span::ZERO, false, true),
        case(Some(4), Span::ZERO, false, true),
        case(None, Span::ZERO, false, false),
        case(Some(2), Span::from_millis(1_199), false, false),
        case(Some(2), Span::from_millis(1_200), false, true),
        case(Some(2), Span::ZERO, true, true),
    ];
    for (number, case) in cases.iter().enumerate() {
        let now = Instant(Span::from_secs(100).0);
        let mut records = vec![
            started("entry-1/1", 1),
            started("entry-2/2", 2),
            host(State::Out),
        ];
        if case.lost {
            records.push(Record::Lost {
                process: process("entry-2/2"),
            });
        }
        let mut node = node(now, records);
        if let Some(offset) = case.offset {
            deliver_heartbeat(&mut node, now, "entry-2/2", offset, 0);
        }
        let expected = match case.everywhere {
            true => Propagation::Everywhere,
            false => Propagation::Waiting(vec![process("entry-2/2")]),
        };
        assert_eq!(
            node.propagation(Offset(3), now + case.age),
            expected,
            "case {number}"
        );
    }
}

/// Guards against an unreported difference between the states of two daemons, also if one of them
/// was behind when it received the other's heartbeat.
#[test]
fn a_difference_at_the_same_offset_is_reported() {
    let now = Instant(Span::from_secs(100).0);
    let records = || {
        vec![
            started("entry-1/1", 1),
            started("entry-2/2", 2),
            host(State::Out),
        ]
    };
    let mut ahead = node(now, records());
    let (right, offset) = (ahead.ledger().hash(), ahead.ledger().offset());
    for (hash, differs) in [(right, false), (right ^ 1, true), (right, false)] {
        deliver_heartbeat(&mut ahead, now, "entry-2/2", offset.0, hash);
        assert_eq!(!ahead.agreement().differing().is_empty(), differs);
        let status = ahead.status(now);
        let is_reported = status.hosts.iter().any(|host| host.differs);
        assert_eq!(is_reported, differs);
        let warned = status
            .warnings
            .iter()
            .any(|text| text.contains("another state"));
        assert_eq!(warned, differs);
    }
    let mut behind = node(now, records()[..2].to_vec());
    deliver_heartbeat(&mut behind, now, "entry-2/2", offset.0, right ^ 1);
    assert!(behind.agreement().differing().is_empty());
    let rows = vec![(offset, entry(3, host(State::Out)))];
    let read = Read {
        sent: now,
        end: offset,
        rows,
    };
    behind.handle(now, Event::Read(read), &mut Vec::new());
    assert_eq!(behind.agreement().differing().len(), 1);
}

/// Guards against a delayed copy of a change that undoes a later change, and against a repeated
/// change whose answer differs from the first.
#[test]
fn the_first_effect_of_a_change_is_final() {
    let mut ledger = Ledger::default();
    let changes = [
        (1, host(State::Out), Effect::Applied),
        (2, host(State::In), Effect::Applied),
        (1, host(State::Out), Effect::Duplicate),
        (
            3,
            Record::Table {
                base: Version(0),
                table: Table::default(),
            },
            Effect::Applied,
        ),
        (
            4,
            Record::Table {
                base: Version(0),
                table: Table::default(),
            },
            Effect::Conflict,
        ),
        (
            4,
            Record::Table {
                base: Version(1),
                table: Table::default(),
            },
            Effect::Duplicate,
        ),
    ];
    for (number, (id, record, effect)) in changes.into_iter().enumerate() {
        let offset = Offset(number as u64 + 1);
        assert_eq!(
            ledger.apply(offset, &entry(id, record)),
            effect,
            "offset {offset}"
        );
    }
    let answer = |id| {
        ledger
            .archive()
            .decision(Id(id))
            .map(|a| (a.offset, a.effect, a.version))
    };
    assert_eq!(answer(1), Some((Offset(1), Effect::Applied, Version(0))));
    assert_eq!(answer(3), Some((Offset(4), Effect::Applied, Version(1))));
    assert_eq!(answer(4), Some((Offset(5), Effect::Conflict, Version(1))));
    assert_eq!(answer(5), None);
}

/// Guards against an archive that grows without bound, and against one that loses the latest
/// version of the table.
#[test]
fn the_archive_is_bounded() {
    let mut ledger = Ledger::default();
    for number in 0..5_000 {
        let base = Version(number);
        let record = Record::Table {
            base,
            table: Table::default(),
        };
        ledger.apply(Offset(number + 1), &entry(u128::from(number) + 1, record));
    }
    let revisions = ledger.archive().revisions();
    assert_eq!(revisions.len(), 100);
    assert_eq!(revisions.last().map(|r| r.version), Some(Version(5_000)));
    assert!(ledger.archive().table(Version(5_000)).is_some());
    assert!(ledger.archive().table(Version(4_900)).is_none());
    let all = ragwortrill_core::archive::Filter {
        limit: usize::MAX,
        ..Default::default()
    };
    assert_eq!(ledger.archive().audit(&all).len(), 4_096);
}

/// Guards against a refusal of a repeated change whose earlier attempt is in the log: the answer must
/// be the effect of that attempt.
#[test]
fn a_change_in_the_log_is_answered_before_any_check() {
    let now = Instant(Span::from_secs(100).0);
    let table = || Record::Table {
        base: Version(0),
        table: Table::default(),
    };
    let node = node(now, vec![table(), table()]);
    let change = |id, record| Change {
        id: Id(id),
        actor: "robin".to_owned(),
        reason: "test".to_owned(),
        record,
    };
    let first = node.validate(&change(1, table()));
    assert!(matches!(first, Validity::Recorded(a) if a.effect == Effect::Applied));
    let second = node.validate(&change(2, table()));
    assert!(matches!(second, Validity::Recorded(a) if a.effect == Effect::Conflict));
    assert!(matches!(
        node.validate(&change(3, table())),
        Validity::Conflict(_)
    ));
}
