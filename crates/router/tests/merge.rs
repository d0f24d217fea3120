//! Merging of key ranges that several hosts remember.

use ragwortrill_router::{
    assignment::{Assignment, Range, State},
    registration::Incarnation,
};

fn range(first: u16, last: u16, epoch: u64, owner: &str, is_held: bool) -> Range {
    let owner = Incarnation {
        id: owner.parse().unwrap(),
        start_ms: 1,
        address: ([127, 0, 0, 1], 1_000).into(),
    };
    let state = match is_held {
        true => State::Held,
        false => State::Moving(Vec::new()),
    };
    Range {
        first,
        last,
        epoch,
        owner,
        state,
    }
}

struct Case {
    name: &'static str,
    ranges: Vec<Range>,
    merged: Vec<Range>,
}

/// Guards against an older range that replaces a newer one, or keys that are in no range.
#[test]
fn latest_range_of_each_key_is_kept() {
    let old = range(0, u16::MAX, 1, "a", true);
    let cases = [
        Case {
            name: "copy alone",
            ranges: vec![old.clone()],
            merged: vec![old.clone()],
        },
        Case {
            name: "keys moved since the copy",
            ranges: vec![
                range(0, 99, 3, "b", true),
                range(100, u16::MAX, 1, "a", true),
                old.clone(),
            ],
            merged: vec![
                range(0, 99, 3, "b", true),
                range(100, u16::MAX, 1, "a", true),
            ],
        },
        Case {
            name: "only the moved keys are remembered",
            ranges: vec![range(100, 199, 3, "b", true), old.clone()],
            merged: vec![
                range(0, 99, 1, "a", true),
                range(100, 199, 3, "b", true),
                range(200, u16::MAX, 10, "a", true),
            ],
        },
        Case {
            name: "move completed since",
            ranges: vec![
                range(0, u16::MAX, 3, "b", true),
                range(0, u16::MAX, 3, "b", false),
                old,
            ],
            merged: vec![range(0, u16::MAX, 3, "b", true)],
        },
    ];
    for case in cases {
        let mut merged = Assignment::merge(case.ranges);
        merged.renumber(10);
        assert_eq!(merged.ranges, case.merged, "{}", case.name);
        assert!(merged.next_epoch >= 10, "{}", case.name);
    }
}

struct Outdated {
    name: &'static str,
    known: Range,
    record: Range,
    outdated: bool,
}

/// Guards against a host that routes by a range of a restored store although it knows a newer one.
#[test]
fn ranges_of_a_copy_are_recognised() {
    let cases = [
        Outdated {
            name: "higher epoch",
            known: range(0, 99, 3, "a", true),
            record: range(0, 99, 5, "b", false),
            outdated: false,
        },
        Outdated {
            name: "lower epoch",
            known: range(0, 99, 5, "b", true),
            record: range(0, 99, 3, "a", true),
            outdated: true,
        },
        Outdated {
            name: "lower epoch within a later range",
            known: range(0, 99, 5, "b", true),
            record: range(50, 99, 3, "a", true),
            outdated: true,
        },
        Outdated {
            name: "move that has completed",
            known: range(0, 99, 5, "b", true),
            record: range(0, 99, 5, "b", false),
            outdated: true,
        },
        Outdated {
            name: "before others took keys",
            known: range(0, 49, 5, "b", true),
            record: range(0, 99, 5, "b", true),
            outdated: true,
        },
        Outdated {
            name: "rest of a range whose first keys moved",
            known: range(0, 99, 5, "b", true),
            record: range(50, 99, 5, "b", true),
            outdated: false,
        },
    ];
    for case in cases {
        let mut assignment = Assignment::default();
        assignment.upsert(case.known);
        let outdated = assignment.is_outdated(&case.record);
        assert_eq!(outdated, case.outdated, "{}", case.name);
    }
}
