//! Cost of the decisions that are made for each request.

use std::{collections::BTreeMap, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ragwortrill_core::{
    admission::{Admission, Caller, Queue, Request, Settings},
    choice::{Candidate, Choice},
    key::Digest,
    ledger::Ledger,
    name,
    number::{Offset, Version},
    quarantine::Quarantine,
    record::{Entry, Id, Record},
    request::{self, Fingerprint},
    retry::Budget,
    sketch::Sketch,
    table::{Service, Table, Target},
    time::{Instant, Span},
};

const SLICES: [u32; 3] = [1_000, 100_000, 1_000_000];

fn target(index: usize) -> (name::Target, Target) {
    let target = Target {
        address: "127.0.0.1:1".parse().expect("is an address"),
        data_centre: "dc-1".parse().expect("is a name"),
        weight: 100,
        checks_epoch: true,
    };
    let name = format!("target-{index:02}");
    (name.parse().expect("is a name"), target)
}

fn row(slices: u32) -> Service {
    Service {
        targets: (0..15).map(target).collect(),
        slots: 6,
        connections: 110,
        queue: 64,
        deadline: Span::from_millis(400),
        divided_by_key: true,
        slices,
        idempotent_methods: ["GET".to_owned()].into(),
        retry_percent: 10,
        slow_start: Span::from_secs(20),
        reserved_percent: 10,
        id_window: Span::from_secs(3_600),
        moves_per_minute: 60,
        hot_key_percent: 10,
    }
}

fn ledger(service: &name::Service, slices: u32) -> Ledger {
    let centre = ("dc-1", "region-1");
    let table = Table {
        data_centres: BTreeMap::from([(
            centre.0.parse().expect("is a name"),
            centre.1.parse().expect("is a name"),
        )]),
        services: BTreeMap::from([(service.clone(), row(slices))]),
    };
    let entry = Entry {
        id: Id(1),
        actor: "bench".to_owned(),
        reason: String::new(),
        written_ms: 0,
        record: Record::Table {
            base: Version(0),
            table,
        },
    };
    let mut ledger = Ledger::default();
    ledger.apply(Offset(1), &entry);
    ledger
}

fn lookup(criterion: &mut Criterion) {
    let service: name::Service = "lookup".parse().expect("is a name");
    let mut group = criterion.benchmark_group("owner");
    for slices in SLICES {
        let ledger = ledger(&service, slices);
        let mut key = 0u64;
        group.bench_function(BenchmarkId::from_parameter(slices), |bencher| {
            bencher.iter(|| {
                key += 1;
                let digest = Digest::new(&service, &key.to_le_bytes());
                // Reading the name touches the memory of the slice's owner.
                black_box(
                    ledger
                        .owner(&service, digest)
                        .map(|t| t.as_str().as_bytes()[0]),
                )
            });
        });
    }
    group.finish();
}

fn request(number: u64, deadline: Instant) -> Request {
    Request {
        id: request::Id {
            key: Digest(number),
            number,
        },
        caller: Caller(number % 40),
        deadline,
        idempotent: true,
        exclusive: false,
    }
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    let settings = || Settings::from(&row(1_000));
    let mut out = Vec::new();
    let mut queue = Queue::new(settings());
    let mut number = 0;
    group.bench_function("direct", |bencher| {
        bencher.iter(|| {
            number += 1;
            let now = Instant(number * 1_000);
            let request = request(number, now + Span::from_secs(1));
            let admission = queue.offer(now, request);
            assert_eq!(admission, Admission::Start);
            queue.finish(now + Span::from_micros(500), request.id, &mut out);
        });
    });
    let mut queue = Queue::new(settings());
    let first = 1_000_000_000;
    let late = Instant(u64::MAX / 2);
    (first..first + 40).for_each(|number| {
        queue.offer(Instant(0), request(number, late));
    });
    let mut number = first + 40;
    let mut running = first;
    group.bench_function("with 39 waiting", |bencher| {
        bencher.iter(|| {
            queue.offer(Instant(number), request(number, late));
            queue.finish(Instant(number), request(running, late).id, &mut out);
            if let Some(ragwortrill_core::admission::Decision::Start(next)) = out.pop() {
                running = next.id.number;
            }
            out.clear();
            number += 1;
        });
    });
    group.finish();
}

fn others(criterion: &mut Criterion) {
    let mut budget = Budget::new(10, 100);
    criterion.bench_function("retry", |bencher| {
        bencher.iter(|| {
            budget.deposit();
            black_box(budget.withdraw())
        });
    });
    let quarantine = Quarantine::default();
    criterion.bench_function("quarantine", |bencher| {
        bencher.iter(|| quarantine.status(black_box(Fingerprint(7))));
    });
    let mut sketch = Sketch::new(64);
    let mut key = 0u64;
    criterion.bench_function("sketch", |bencher| {
        bencher.iter(|| {
            key = key.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            sketch.add(Digest(key >> 57), 1);
        });
    });
    let candidate = Candidate {
        in_flight: 2,
        limit: 6,
        latency: Span::from_millis(20),
        factor_percent: 100,
        usable: true,
    };
    let candidates = [candidate; 7];
    let mut choice = Choice::new(1);
    criterion.bench_function("choice of 7", |bencher| {
        bencher.iter(|| choice.pick(black_box(&candidates), None));
    });
}

criterion_group!(benches, lookup, admission, others);
criterion_main!(benches);
