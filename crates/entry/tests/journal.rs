//! Bounds on log lines.

use ragwortrill_entry::journal::{Decision, Limiter};

struct Case {
    name: &'static str,
    at_ms: u64,
    message: &'static str,
    verdict: Decision,
}

/// Guards against a log that an overload floods, and against lines that are left out without a
/// count.
#[test]
fn lines_of_a_message_are_bounded() {
    let cases = [
        Case {
            name: "first",
            at_ms: 10_000,
            message: "request failed",
            verdict: Decision::Write,
        },
        Case {
            name: "second",
            at_ms: 10_100,
            message: "request failed",
            verdict: Decision::Write,
        },
        Case {
            name: "over the bound",
            at_ms: 10_200,
            message: "request failed",
            verdict: Decision::Suppress,
        },
        Case {
            name: "another message",
            at_ms: 10_300,
            message: "target changed",
            verdict: Decision::Write,
        },
        Case {
            name: "over the bound again",
            at_ms: 10_900,
            message: "request failed",
            verdict: Decision::Suppress,
        },
        Case {
            name: "next second",
            at_ms: 11_000,
            message: "request failed",
            verdict: Decision::WriteAfterSummary(2),
        },
        Case {
            name: "the clock went back",
            at_ms: 5_000,
            message: "request failed",
            verdict: Decision::Write,
        },
    ];
    let limiter = Limiter::default();
    for case in cases {
        let verdict = limiter.count(case.at_ms, case.message, 2);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}
