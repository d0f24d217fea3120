//! Merging of key ranges that several hosts remember.

use ragwortrill_router::{
    assignment::{Assignment, PreviousOwner, Range, State},
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
                waiting(200, u16::MAX, 11, &[("a", 10)]),
            ],
        },
        Case {
            name: "move whose end nobody remembers",
            ranges: vec![Range {
                owner: range(0, 0, 0, "b", true).owner,
                ..waiting(0, u16::MAX, 3, &[("a", 2)])
            }],
            merged: vec![waiting(0, u16::MAX, 12, &[("a", 11), ("b", 10)])],
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
        merged.recover(10);
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

/// Returns a range that waits for previous owners, each with the epoch of its release.
fn waiting(first: u16, last: u16, epoch: u64, previous: &[(&str, u64)]) -> Range {
    let (owner, _) = previous[previous.len() - 1];
    let previous = previous.iter().map(|(target, fence)| PreviousOwner {
        target: range(0, 0, 0, target, true).owner,
        fence: *fence,
    });
    Range {
        state: State::Moving(previous.collect()),
        ..range(first, last, epoch, owner, false)
    }
}

/// Guards against keys of overlapping ranges, as an earlier release left them in a log, that a new leader
/// renews at two targets.
#[test]
fn overlapping_ranges_are_separated() {
    let all = range(0, u16::MAX, 1, "a", true);
    let cases = [
        Case {
            name: "no overlap",
            ranges: vec![
                range(0, 99, 3, "b", true),
                range(100, u16::MAX, 1, "a", true),
            ],
            merged: vec![
                range(0, 99, 3, "b", true),
                range(100, u16::MAX, 1, "a", true),
            ],
        },
        Case {
            name: "later range within an earlier one",
            ranges: vec![all.clone(), range(100, 199, 3, "b", true)],
            merged: vec![
                range(0, 99, 1, "a", true),
                waiting(100, 199, 22, &[("a", 20), ("b", 21)]),
                waiting(200, u16::MAX, 24, &[("a", 23)]),
            ],
        },
        Case {
            name: "later range that begins within an earlier one",
            ranges: vec![range(0, 199, 5, "a", true), range(100, 299, 3, "b", true)],
            merged: vec![
                range(0, 99, 5, "a", true),
                waiting(100, 199, 22, &[("b", 20), ("a", 21)]),
                range(200, 299, 3, "b", true),
            ],
        },
        Case {
            name: "owner that another range waits for",
            ranges: vec![
                waiting(0, 199, 5, &[("c", 4)]),
                range(100, 199, 7, "c", true),
            ],
            merged: vec![
                waiting(0, 99, 5, &[("c", 4)]),
                waiting(100, 199, 22, &[("c", 21)]),
            ],
        },
    ];
    for case in cases {
        let mut assignment = Assignment::default();
        let is_separate = case.ranges == case.merged;
        case.ranges
            .into_iter()
            .for_each(|range| assignment.upsert(range));
        assert_eq!(assignment.separate(20), !is_separate, "{}", case.name);
        assert_eq!(assignment.ranges, case.merged, "{}", case.name);
    }
}
