//! Processor time of applying records, restoring snapshots and the node's periodic work.

use std::{hint::black_box, time::Instant as Clock};

use ragwortrill_core::{
    event::{Event, Message, Read},
    ledger::Ledger,
    node::{Config, Node},
    number::{Epoch, Offset, Version},
    record::Record,
    snapshot,
    time::{Instant, Span},
};

use crate::{
    fit::Slope,
    sample::{claim, entry, intent, ledger, process, table},
};

/// Number of targets that the node holds while its periodic work is measured.
const HELD_TARGETS: usize = 12;

/// Virtual time for which the periodic work is measured.
const VIRTUAL_TIME_S: u64 = 5;

/// Measures processor times, and the size of snapshots.
pub fn measure() -> Vec<Slope> {
    let targets = [100, 1_000, 10_000];
    let claims = targets.map(|n| {
        (
            n as f64,
            min_time_us(|| ledger(n, 1_024), |l| apply(l, claim(0, 0..n))),
        )
    });
    let intents = [10, 100, 1_000].map(|n| {
        let prepare = || {
            let mut ledger = ledger(100, 1_024);
            apply(&mut ledger, claim(0, 0..100));
            ledger
        };
        let epoch = Epoch(2);
        let act = |l: &mut Ledger| apply(l, intent(0, epoch, 0..n));
        (n as f64, min_time_us(prepare, act))
    });
    let tables = targets.map(|n| {
        let act = |l: &mut Ledger| {
            let table = table(n, 1_024);
            apply(
                l,
                Record::Table {
                    base: Version(1),
                    table,
                },
            );
        };
        (n as f64, min_time_us(|| ledger(n, 1_024), act))
    });
    let slices = [10_000, 100_000, 1_000_000];
    let sizes = slices.map(|n| {
        (
            f64::from(n),
            snapshot::encode(&ledger(100, n)).map_or(f64::NAN, |b| b.len() as f64),
        )
    });
    let restores = slices.map(|n| (f64::from(n), restore_time_us(n)));
    let periodic = targets.map(|n| (n as f64, core_percent(n, 8)));
    let peers = [8, 80, 800].map(|n| (n as f64, core_percent(100, n)));
    vec![
        Slope::new("claim applied, us", "target", claims.to_vec()),
        Slope::new("intent applied, us", "request id", intents.to_vec()),
        Slope::new("table applied, us", "target", tables.to_vec()),
        Slope::new("snapshot, bytes", "slice", sizes.to_vec()),
        Slope::new("snapshot restored, us", "slice", restores.to_vec()),
        Slope::new(
            "periodic work, % of a core",
            "target in the table",
            periodic.to_vec(),
        ),
        Slope::new("periodic work, % of a core", "linked peer", peers.to_vec()),
    ]
}

fn apply(ledger: &mut Ledger, record: Record) {
    crate::sample::apply(ledger, record);
}

/// Returns the shortest of five runs of an action, in microseconds.
fn min_time_us(prepare: impl Fn() -> Ledger, act: impl Fn(&mut Ledger)) -> f64 {
    let times = (0..5).map(|_| {
        let mut ledger = prepare();
        let start = Clock::now();
        act(&mut ledger);
        let elapsed = start.elapsed().as_secs_f64() * 1e6;
        black_box(ledger);
        elapsed
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Returns the time that restoring a snapshot takes, in microseconds.
fn restore_time_us(slices: u32) -> f64 {
    let ledger = ledger(100, slices);
    let bytes = snapshot::encode(&ledger).unwrap_or_default();
    let start = Clock::now();
    black_box(snapshot::decode(ledger.offset(), &bytes).is_ok());
    start.elapsed().as_secs_f64() * 1e6
}

/// Returns the share of a core, in per cent, that a node's ticks and received heartbeats take.
fn core_percent(targets: usize, peers: usize) -> f64 {
    let mut node = node(targets, peers);
    let mut actions = Vec::new();
    let mut now = Instant(10_000_000);
    let mut next_heartbeats = now;
    let end = now + Span::from_secs(VIRTUAL_TIME_S);
    let start = Clock::now();
    while now < end {
        if now >= next_heartbeats {
            next_heartbeats = now + Span::from_millis(250);
            receive_heartbeats(&mut node, now, peers, &mut actions);
        }
        node.handle(now, Event::Tick, &mut actions);
        actions.clear();
        now = now + Span::from_millis(20);
    }
    start.elapsed().as_secs_f64() / VIRTUAL_TIME_S as f64 * 100.0
}

/// Passes a heartbeat of each peer and an empty read of the log to the node.
fn receive_heartbeats(
    node: &mut Node,
    now: Instant,
    peers: usize,
    actions: &mut Vec<ragwortrill_core::action::Action>,
) {
    let (offset, hash) = (node.ledger().offset(), node.ledger().hash());
    for peer in 1..=peers {
        let message = Message::Heartbeat {
            sent: now,
            offset,
            hash,
            epochs: vec![Epoch(1)],
            reports: Vec::new(),
            stopping: false,
        };
        let from = process(peer);
        node.handle(now, Event::Received { from, message }, actions);
    }
    let read = Read {
        sent: now,
        end: offset,
        rows: Vec::new(),
    };
    node.handle(now, Event::Read(read), actions);
}

/// Creates a node that holds [`HELD_TARGETS`] targets of a table. Its first peer holds the others.
fn node(targets: usize, peers: usize) -> Node {
    let mut node = Node::new(Config {
        process: process(0),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: crate::harness::name("east"),
        times: Default::default(),
    });
    let base = Version(0);
    let mut records = vec![Record::Table {
        base,
        table: table(targets, 1_024),
    }];
    records.extend((0..=peers).map(|number| Record::Started {
        process: process(number),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: crate::harness::name("east"),
        after: Offset(0),
    }));
    records.push(claim(0, 0..HELD_TARGETS));
    records.push(claim(1, HELD_TARGETS..targets));
    let rows = (1..).map(Offset).zip(records);
    let rows: Vec<_> = rows
        .map(|(offset, record)| (offset, entry(offset.0, record)))
        .collect();
    let read = Read {
        sent: Instant(9_000_000),
        end: Offset(rows.len() as u64),
        rows,
    };
    let now = Instant(9_000_000);
    node.handle(now, Event::Read(read), &mut Vec::new());
    node
}
