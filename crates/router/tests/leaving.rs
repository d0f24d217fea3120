//! Targets that state in their answers that they leave, against what their entries say.

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    fleet::{Change, Fleet},
    leaving::Source,
    registration::{Incarnation, Registration},
};

fn id() -> name::Target {
    "a".parse().unwrap()
}

fn registration(start_ms: u64) -> Registration {
    Registration {
        incarnation: Incarnation {
            id: id(),
            start_ms,
            address: ([127, 0, 0, 1], 1_000).into(),
        },
        service: "lookup".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        slots: 6,
        is_draining: false,
        cold: Span::ZERO,
        sequence: 0,
    }
}

fn at(millis: u64) -> Instant {
    Instant(Span::from_secs(100).0) + Span::from_millis(millis)
}

enum Step {
    Register(u64),
    Remove,
    /// The store fails, and answers again.
    Outage,
    /// The target with this start time states that it leaves.
    Leave(u64),
}

struct Case {
    name: &'static str,
    /// Steps in intervals of a second.
    steps: &'static [Step],
    serves: bool,
    leaving: usize,
}

/// Guards against a leaving target that serves again by its entry, and against a new start that
/// counts as leaving.
#[test]
fn statement_holds_for_one_incarnation_whatever_its_entry_says() {
    use Step::{Leave, Outage, Register, Remove};
    let cases = [
        Case {
            name: "ready by its entry",
            steps: &[Register(1), Leave(1)],
            serves: false,
            leaving: 1,
        },
        Case {
            name: "newer entry of the same start",
            steps: &[Register(1), Leave(1), Register(1)],
            serves: false,
            leaving: 1,
        },
        Case {
            name: "known before its entry",
            steps: &[Leave(1), Register(1)],
            serves: false,
            leaving: 1,
        },
        Case {
            name: "entry that returns",
            steps: &[Register(1), Leave(1), Remove, Register(1)],
            serves: false,
            leaving: 1,
        },
        Case {
            name: "entry that returns after an outage",
            steps: &[Register(1), Leave(1), Outage, Remove, Register(1)],
            serves: false,
            leaving: 1,
        },
        Case {
            name: "another start",
            steps: &[Register(1), Leave(1), Register(2)],
            serves: true,
            leaving: 0,
        },
        Case {
            name: "late statement of an earlier start",
            steps: &[Register(2), Leave(1)],
            serves: true,
            leaving: 0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        for (index, step) in case.steps.iter().enumerate() {
            apply(&mut fleet, at(index as u64 * 1_000), step);
        }
        let serves = fleet
            .get(&id())
            .is_some_and(|target| fleet.is_serving(target));
        assert_eq!(serves, case.serves, "{}", case.name);
        assert_eq!(fleet.leaving().count(), case.leaving, "{}", case.name);
    }
}

fn apply(fleet: &mut Fleet, now: Instant, step: &Step) {
    match step {
        Step::Register(start) => {
            fleet.apply(now, &id(), Some(registration(*start)));
        }
        Step::Remove => {
            fleet.apply(now, &id(), None);
        }
        Step::Outage => {
            fleet.store_failed(now - Span::from_secs(2));
            fleet.store_answered(now);
        }
        Step::Leave(start) => {
            let target = registration(*start).incarnation;
            fleet.record_leaving(now, &target, Source::Answer);
        }
    }
}

/// Guards against a leaving target that counts as missing, and so as one that may come back, when its
/// entry goes during an outage of the store.
#[test]
fn removed_entry_of_a_leaving_target_is_final_during_an_outage() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), &id(), Some(registration(1)));
    let target = registration(1).incarnation;
    assert!(fleet.record_leaving(at(0), &target, Source::Relay));
    assert!(!fleet.record_leaving(at(0), &target, Source::Answer));
    fleet.store_failed(at(0));
    assert_eq!(fleet.apply(at(2_000), &id(), None), Change::Gone);
}

/// Guards against statements that pile up for targets that never come back.
#[test]
fn statement_of_a_target_without_an_entry_is_forgotten_after_a_time() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), &id(), Some(registration(1)));
    let target = registration(1).incarnation;
    let other = registration(2).incarnation;
    fleet.record_leaving(at(0), &target, Source::Answer);
    fleet.record_leaving(at(500_000), &other, Source::Answer);
    assert!(fleet.is_leaving(&target), "its entry is listed");
    fleet.apply(at(500_000), &id(), None);
    fleet.record_leaving(at(500_000), &other, Source::Answer);
    assert!(!fleet.is_leaving(&target));
}
