//! Limits on the number of log lines.

use ragwortrill_entry::journal::{AUDIT, Decision, Limiter};

struct Case {
    name: &'static str,
    at_ms: u64,
    message: &'static str,
    decision: Decision,
}

/// Guards against an overload that floods the log with lines of one message, and against suppressed
/// lines that are not counted.
#[test]
fn lines_per_message_are_limited_and_counted() {
    let cases = [
        Case {
            name: "first",
            at_ms: 10_000,
            message: "request failed",
            decision: Decision::Write,
        },
        Case {
            name: "second",
            at_ms: 10_100,
            message: "request failed",
            decision: Decision::Write,
        },
        Case {
            name: "over the bound",
            at_ms: 10_200,
            message: "request failed",
            decision: Decision::Suppress,
        },
        Case {
            name: "another message",
            at_ms: 10_300,
            message: "target changed",
            decision: Decision::Write,
        },
        Case {
            name: "over the bound again",
            at_ms: 10_900,
            message: "request failed",
            decision: Decision::Suppress,
        },
        Case {
            name: "next second",
            at_ms: 11_000,
            message: "request failed",
            decision: Decision::WriteAfterSummary(2),
        },
        Case {
            name: "the clock is set back",
            at_ms: 5_000,
            message: "request failed",
            decision: Decision::Write,
        },
    ];
    let limiter = Limiter::default();
    for case in cases {
        let decision = limiter.count(case.at_ms, case.message, 2);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// Guards against a log of a busy leader that lacks the orders by which keys moved.
#[test]
fn lines_about_moves_of_keys_are_never_left_out() {
    struct Case {
        target: &'static str,
        is_limited: bool,
    }
    let cases = [
        Case {
            target: AUDIT,
            is_limited: false,
        },
        Case {
            target: "ragwortrill_entry::apply",
            is_limited: true,
        },
    ];
    let limiter = Limiter::default();
    for case in cases {
        let record = log::Record::builder()
            .target(case.target)
            .level(log::Level::Info)
            .args(format_args!("grant or release ended"))
            .build();
        let written = (0..1_000).map(|_| limiter.admit(&record));
        let is_limited = written.into_iter().any(|d| d == Decision::Suppress);
        assert_eq!(is_limited, case.is_limited, "{}", case.target);
    }
}
