//! Failures of processes, targets, links and the log, alone and in pairs, in virtual time: none
//! violates an invariant of section 1 of the design, and requests are served again afterwards.

use ragwortrill_core::{
    record::State,
    time::{Instant, Span},
};
use ragwortrill_standin::world::{Builder, Endpoint, LogFault, Tally, World};
use test_case::test_case;

/// A failure that begins at one moment and ends some seconds later.
struct Case {
    name: &'static str,
    begin: fn(&mut World),
    end: fn(&mut World),
}

const NO_ACTION: fn(&mut World) = |_| {};

const CASES: [Case; 15] = [
    Case {
        name: "a daemon is cut off from everything",
        begin: |world| world.isolate(0),
        end: |world| world.net.restore_all(),
    },
    Case {
        name: "a daemon is cut off from the log",
        begin: |world| world.net.cut(Endpoint::Daemon(1), Endpoint::Log),
        end: |world| world.net.restore(Endpoint::Daemon(1), Endpoint::Log),
    },
    Case {
        name: "a daemon is cut off from the other daemons, not from targets and log",
        begin: |world| {
            (1..world.daemon_count())
                .for_each(|i| world.net.cut(Endpoint::Daemon(0), Endpoint::Daemon(i)))
        },
        end: |world| world.net.restore_all(),
    },
    Case {
        name: "a daemon is paused past its lease",
        begin: |world| world.pause(2),
        end: |world| world.resume(2),
    },
    Case {
        name: "a daemon is lost with its host and starts again",
        begin: |world| world.lose_host(3),
        end: |world| world.restart(3),
    },
    Case {
        name: "a daemon's process ends and starts again",
        begin: |world| world.kill(4),
        end: |world| world.restart(4),
    },
    Case {
        name: "a target freezes and returns",
        begin: |world| world.freeze_target(0),
        end: |world| world.resume_target(0),
    },
    Case {
        name: "a target is lost and starts cold",
        begin: |world| world.lose_target(1),
        end: |world| world.restart_target(1),
    },
    Case {
        name: "a target turns cold without warning",
        begin: |world| world.make_target_cold(2),
        end: NO_ACTION,
    },
    Case {
        name: "the log is down",
        begin: |world| world.set_log_fault(LogFault::Down),
        end: |world| world.set_log_fault(LogFault::None),
    },
    Case {
        name: "the log is silent",
        begin: |world| world.set_log_fault(LogFault::Silent),
        end: |world| world.set_log_fault(LogFault::None),
    },
    Case {
        name: "the log is slow",
        begin: |world| world.set_log_fault(LogFault::Slow(Span::from_millis(700))),
        end: |world| world.set_log_fault(LogFault::None),
    },
    Case {
        name: "the log's answers to appends are lost",
        begin: |world| world.set_log_fault(LogFault::LostAnswers),
        end: |world| world.set_log_fault(LogFault::None),
    },
    Case {
        name: "the log takes appends twice",
        begin: |world| world.set_log_fault(LogFault::DuplicateAppends),
        end: |world| world.set_log_fault(LogFault::None),
    },
    Case {
        name: "operators race to take a data centre out and back",
        begin: |world| world.set_data_centre(100, "north", State::Out),
        end: |world| {
            world.set_data_centre(101, "north", State::Out);
            world.set_data_centre(102, "north", State::In);
        },
    },
];

const SETTLE_TIME: Span = Span::from_secs(12);
const FAULT_DURATION: Span = Span::from_secs(6);
const TIME_AFTER_FAULT: Span = Span::from_secs(14);

fn load(world: &mut World, end: Instant) {
    for key in 0..6 {
        world.call("lookup", key);
    }
    world.call("order", world.now().0);
    if world.now() < end {
        world.schedule(Span::from_millis(100), move |world| load(world, end));
    }
}

/// Simulates simultaneous failures and returns the world after their end.
fn run(cases: &[&Case], checks: bool, seed: u64) -> World {
    let deadline = Span::from_secs(4);
    let builder = Builder::default().checks(checks).deadline(deadline);
    let mut world = World::new(builder, seed);
    world.run(SETTLE_TIME);
    let end = world.now() + Span::from_secs(1) + FAULT_DURATION + TIME_AFTER_FAULT;
    load(&mut world, end);
    world.run(Span::from_secs(1));
    for case in cases {
        (case.begin)(&mut world);
        world.run(Span::from_millis(130));
    }
    world.run(FAULT_DURATION);
    cases.iter().for_each(|case| (case.end)(&mut world));
    world.run_until(end + Span::from_secs(5));
    world
}

fn check(cases: &[&Case], checks: bool, seed: u64) -> Option<String> {
    let world = run(cases, checks, seed);
    let names: Vec<&str> = cases.iter().map(|case| case.name).collect();
    let last = world.now().0 - 8_000_000;
    let late = world
        .calls()
        .iter()
        .filter(|call| call.first_sent.0 >= last);
    let unserved = late.filter(|call| !call.is_served()).count();
    let broken = world.tally != Tally::default() || unserved > 0;
    let tally = world.tally;
    broken
        .then(|| format!("{names:?}, seed {seed}, checks {checks}: {unserved} unserved, {tally:?}"))
}

/// Guards against faults of a single mechanism, which show as violations after one failure.
#[test]
fn single_failures_break_no_invariant() {
    let failed: Vec<String> = CASES
        .iter()
        .flat_map(|case| (1..=2).filter_map(|seed| check(&[case], true, seed)))
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against mechanisms that wrongly rely on each other, which show as violations after two
/// failures. The pairs are split into thirds, which run in parallel.
#[test_case(0; "first third")]
#[test_case(1; "second third")]
#[test_case(2; "last third")]
fn pairs_of_failures_break_no_invariant(third: usize) {
    let pairs = (0..CASES.len()).flat_map(|one| (one + 1..CASES.len()).map(move |two| (one, two)));
    let pairs = pairs.enumerate().filter(|(number, _)| number % 3 == third);
    let failed: Vec<String> = pairs
        .filter_map(|(number, (one, two))| check(&[&CASES[one], &CASES[two]], true, number as u64))
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against holders that do not wait long enough before a takeover: targets that check no
/// epoch have no other protection against two owners.
#[test]
fn targets_without_epoch_checks_have_one_owner() {
    let failed: Vec<String> = CASES
        .iter()
        .filter_map(|case| check(&[case], false, 3))
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
