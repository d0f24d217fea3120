//! Sizes of records in the log and of frames between daemons.

use ragwortrill_core::{
    event::{Message, TargetReport},
    health::State,
    number::{Epoch, Offset, Slice, Version},
    record::{Record, Share},
    time::{Instant, Span},
};
use ragwortrill_platform::log;
use ragwortrill_wire::{Frame, encode};

use crate::{
    fit::Slope,
    sample::{claim, entry, intent, table, target_name},
};

/// Measures the encoded size of each kind of record and frame.
pub fn measure() -> Vec<Slope> {
    vec![
        record("claim, bytes", "target", [1, 10, 100], |n| claim(0, 0..n)),
        record("standbys, bytes", "target", [1, 10, 100], |n| {
            Record::Standbys {
                targets: (0..n).map(|n| (target_name(n), Epoch(1 << 40))).collect(),
                standbys: Vec::new(),
                after: Offset(1 << 40),
            }
        }),
        record("move, bytes", "slice", [1, 10, 100], |n| Record::Move {
            service: crate::harness::name("service"),
            from: target_name(0),
            epoch: Epoch(1 << 40),
            shares: (0..n)
                .map(|n| (Share::Slice(Slice(n as u32)), target_name(n)))
                .collect(),
            after: Offset(1 << 40),
        }),
        record("intent, bytes", "request id", [1, 10, 1_000], |n| {
            intent(0, Epoch(1 << 40), 0..n as u64)
        }),
        record("table, bytes", "target", [100, 1_000, 10_000], |n| {
            Record::Table {
                base: Version(1),
                table: table(n, 1_024),
            }
        }),
        frame("heartbeat, bytes", "held target", [1, 10, 100], heartbeat),
        frame("promise, bytes", "epoch", [1, 10, 100], |n| {
            Message::Promise {
                sent: Instant(1 << 40),
                requested: (0..n as u64).map(|n| Epoch((1 << 40) + n)).collect(),
                withheld: Vec::new(),
                offset: Offset(1 << 40),
            }
        }),
    ]
}

fn record(
    quantity: &'static str,
    per: &'static str,
    sizes: [usize; 3],
    create: impl Fn(usize) -> Record,
) -> Slope {
    let bytes = |size: usize| log::encode(&entry(1, create(size))).len() as f64;
    Slope::new(quantity, per, sizes.map(|n| (n as f64, bytes(n))).to_vec())
}

fn frame(
    quantity: &'static str,
    per: &'static str,
    sizes: [usize; 3],
    create: impl Fn(usize) -> Message,
) -> Slope {
    let bytes = |size: usize| {
        let frame = Frame::Control(create(size));
        encode(&frame).map_or(f64::NAN, |bytes| bytes.len() as f64)
    };
    Slope::new(quantity, per, sizes.map(|n| (n as f64, bytes(n))).to_vec())
}

fn heartbeat(targets: usize) -> Message {
    Message::Heartbeat {
        sent: Instant(1 << 40),
        offset: Offset(1 << 40),
        hash: u64::MAX,
        epochs: vec![Epoch(1 << 40)],
        reports: (0..targets)
            .map(|number| TargetReport {
                target: target_name(number),
                start_id: Some(u64::MAX),
                state: State::Warm,
                in_flight: 6,
                limit: 6,
                latency: Span::from_millis(20),
                load: 1 << 30,
                capacity_percent: 100,
                rate_limit: None,
                leaving: false,
                paused: None,
            })
            .collect(),
        stopping: false,
    }
}
