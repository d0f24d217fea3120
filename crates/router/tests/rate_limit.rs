//! Limit on the requests that all hosts together send to a target that states a rate.

use ragwortrill_core::{
    name,
    rate_limit::{Limit, Rate, Source, Statement},
    time::{Instant, Span},
};
use ragwortrill_router::share;

/// Time within which requests are counted.
const WINDOW: Span = Span::from_secs(4);
/// Time between two moments at which a host may send.
const STEP: Span = Span::from_millis(10);

struct Case {
    name: &'static str,
    hosts: usize,
    rate: &'static str,
    /// Whether callers send nothing for a time, so that hosts save requests, and then to all hosts.
    pauses: bool,
}

/// Guards against exceeding a stated rate although each host stays within its part: all hosts may
/// send one request at the same time.
#[test]
fn hosts_together_stay_within_a_stated_rate() {
    let mut cases = Vec::new();
    for (hosts, name) in [(1, "1 host"), (10, "10"), (82, "82"), (300, "300 hosts")] {
        for rate in ["0", "0.5", "4.3", "40", "600"] {
            for pauses in [false, true] {
                cases.push(Case {
                    name,
                    hosts,
                    rate,
                    pauses,
                });
            }
        }
    }
    for case in cases {
        check(&case);
    }
}

fn check(case: &Case) {
    let target: name::Target = "a".parse().unwrap();
    let rate: Rate = case.rate.parse().unwrap();
    let names: Vec<String> = (0..case.hosts).map(|i| format!("host-{i}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let start = Instant(Span::from_secs(100).0);
    let statement = Statement {
        rate: Some(rate),
        sent_at: start,
        stated_at: start,
    };
    let parts = hosts.iter().map(|host| {
        let part = share::rate_limit_part(rate, &target, host, &hosts);
        let mut limit = Limit::default();
        limit.take(start, None);
        limit.record(start, statement, Source::Answer);
        part.map(|part| (part, limit))
    });
    let mut senders: Vec<_> = parts.flatten().collect();
    let label = format!("{}, rate {}, pauses {}", case.name, case.rate, case.pauses);
    assert!(!senders.is_empty(), "{label}");
    let mut sent: Vec<Instant> = Vec::new();
    for step in 0..3_000 {
        let now = start + STEP.scale(step, 1);
        if case.pauses && step % 1_000 < 900 {
            continue;
        }
        for (part, limit) in &mut senders {
            while limit.allowance(now, *part, Span::ZERO) > 0 {
                limit.take(now, Some(*part));
                sent.push(now);
            }
        }
    }
    let stated: f64 = case.rate.parse().unwrap();
    let allowed = 1.5 * stated * WINDOW.as_secs_f64() + 5.0;
    let mut last = 0;
    let mut most = 0;
    for (first, at) in sent.iter().enumerate() {
        while sent.get(last).is_some_and(|end| end.since(*at) < WINDOW) {
            last += 1;
        }
        most = most.max(last - first);
    }
    assert!(most as f64 <= allowed, "{label}: {most} of {allowed}");
    if !case.pauses {
        let served = sent.len() as f64;
        assert!(served >= 0.9 * stated * 30.0 - 3.0, "{label}: {served}");
    }
}

struct Answer {
    name: &'static str,
    /// Rate, time at which the request was sent, and time of the answer, in milliseconds.
    answers: &'static [(Option<&'static str>, u64, u64)],
    at_ms: u64,
    limited: bool,
}

/// Guards against a limit that an answer ends which the target wrote before it stated the limit.
#[test]
fn only_a_later_answer_ends_a_limit() {
    let cases = [
        Answer {
            name: "stated",
            answers: &[(Some("4"), 0, 10)],
            at_ms: 20,
            limited: true,
        },
        Answer {
            name: "answer to an earlier request",
            answers: &[(Some("4"), 0, 10), (None, 5, 12)],
            at_ms: 20,
            limited: true,
        },
        Answer {
            name: "answer to a later request",
            answers: &[(Some("4"), 0, 10), (None, 11, 15)],
            at_ms: 20,
            limited: false,
        },
        Answer {
            name: "no answer for a long time",
            answers: &[(Some("4"), 0, 10)],
            at_ms: 120_000,
            limited: false,
        },
    ];
    for case in cases {
        let at = |millis| Instant(Span::from_secs(100).0) + Span::from_millis(millis);
        let mut limit = Limit::default();
        for (rate, sent, stated) in case.answers {
            let statement = Statement {
                rate: rate.map(|rate| rate.parse().unwrap()),
                sent_at: at(*sent),
                stated_at: at(*stated),
            };
            limit.record(at(*stated), statement, Source::Answer);
        }
        let is_limited = limit.rate(at(case.at_ms)).is_some();
        assert_eq!(is_limited, case.limited, "{}", case.name);
    }
}
