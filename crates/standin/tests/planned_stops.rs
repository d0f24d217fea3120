//! Planned stops neither interrupt nor refuse a request.

use ragwortrill_core::{
    record::{Record, State},
    time::{Instant, Span},
};
use ragwortrill_standin::world::{Builder, Tally, World};

/// A planned stop under load.
struct Case {
    name: &'static str,
    carry_out: fn(&mut World),
}

const CASES: [Case; 3] = [
    Case {
        name: "rolling restart of all daemons",
        carry_out: |world| {
            for daemon in 0..world.daemon_count() {
                world.stop(daemon);
                world.run(Span::from_secs(8));
                assert!(!world.is_alive(daemon), "daemon {daemon} did not end");
                world.restart(daemon);
                world.run(Span::from_secs(8));
            }
        },
    },
    Case {
        name: "drain of a host",
        carry_out: |world| {
            let (name, after) = ("h1".parse().expect("is valid"), world.log.ledger().offset());
            let state = State::Out;
            world.append_as_operator(800, Record::Host { name, state, after });
            world.run(Span::from_secs(15));
        },
    },
    Case {
        name: "drain of a target",
        carry_out: |world| {
            let (name, after) = (world.targets[0].name.clone(), world.log.ledger().offset());
            let state = State::Out;
            world.append_as_operator(801, Record::Target { name, state, after });
            world.run(Span::from_secs(5));
            let since = world.now() - Span::from_secs(2);
            let late = world.calls().iter().flat_map(|call| &call.runs);
            let late = late.filter(|(at, site)| *at >= since && *site == 0);
            assert_eq!(late.count(), 0, "the drained target got new work");
        },
    },
];

fn load(world: &mut World, end: Instant) {
    for key in 0..8 {
        world.call("lookup", key);
    }
    world.call("order", world.now().0);
    if world.now() < end {
        world.schedule(Span::from_millis(50), move |world| load(world, end));
    }
}

/// Guards against planned stops that interrupt requests, or refuse those that other processes
/// could serve.
#[test]
fn planned_stops_refuse_and_interrupt_no_request() {
    let mut failed = Vec::new();
    for (case, seed) in CASES.iter().flat_map(|case| [(case, 1), (case, 2)]) {
        let mut world = World::new(Builder::default(), seed);
        world.run(Span::from_secs(15));
        let end = world.now() + Span::from_secs(100);
        load(&mut world, end);
        world.run(Span::from_secs(1));
        (case.carry_out)(&mut world);
        let sent = world.calls().len();
        world.run(Span::from_secs(12));
        let unserved = world.calls()[..sent]
            .iter()
            .filter(|call| !call.is_served());
        let unserved: Vec<_> = unserved
            .map(|call| (call.first_sent, call.answer))
            .collect();
        if !unserved.is_empty() || world.tally != Tally::default() {
            let sample: Vec<_> = unserved.iter().take(4).collect();
            let count = unserved.len();
            let text = format!(
                "{}, seed {seed}: {count} of {sent} unserved, {sample:?}",
                case.name
            );
            failed.push(format!("{text}, {:?}", world.tally));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
