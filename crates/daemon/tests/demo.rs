//! Tests of the result that the demo reports.

#[path = "../examples/demo/mod.rs"]
mod demo;
mod harness;

use std::time::Duration;

use demo::{Fault, Plan, Summary};
use test_case::test_case;

fn run(fault: Option<Fault>) -> Summary {
    let plan = Plan {
        daemons: 3,
        fault,
        length: Duration::from_secs(1),
        seed: 1,
    };
    let (mut changes, mut shown) = (Vec::new(), Duration::ZERO);
    let summary = demo::run(&plan, |progress| {
        assert!(progress.elapsed >= shown);
        shown = progress.elapsed;
        changes.extend(progress.change.map(|change| (progress.requests, change)));
    });
    assert_eq!(changes.len(), 4, "{changes:?}");
    summary.expect("the demo runs")
}

/// Guards against a demo that misses one of the three failures.
#[test_case(Fault::Break, [true, false, false]; "an answer that breaks off")]
#[test_case(Fault::Repeat, [false, true, false]; "an order that runs twice")]
#[test_case(Fault::Stray, [false, false, true]; "a lookup at the wrong target")]
fn a_failure_is_reported(fault: Fault, expected: [bool; 3]) {
    let summary = run(Some(fault));
    let seen = [
        summary.cut_answers > 0,
        summary.doubled_runs > 0,
        summary.wrong_owner > 0,
    ];
    assert_eq!(seen, expected, "{summary:?}");
    assert!(!summary.is_good());
}

/// Guards against a demo that reports failures in a run without any.
#[test]
fn a_run_without_failures_is_good() {
    let summary = run(None);
    assert!(summary.is_good(), "{summary:?}");
    assert!(summary.answered > 0, "{summary:?}");
}
