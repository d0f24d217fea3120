//! Times for which a target wants nothing from this host.

use ragwortrill_core::{
    admission::{Admission, Caller, Decision, Queue, Request, Settings},
    key::Digest,
    pause::{Change, Pause, Time},
    request::{self, Refusal},
    time::{Instant, Span},
};

fn at(millis: u64) -> Instant {
    Instant(Span::from_secs(100).0) + Span::from_millis(millis)
}

struct Case {
    name: &'static str,
    /// When refusals state times, in milliseconds, and the times.
    stated: &'static [(u64, &'static str)],
    /// When the pause ends, in milliseconds; none if there was none.
    ends_at: Option<u64>,
}

/// Guards against a shorter statement that ends a longer one, and a statement that is read wrongly.
#[test]
fn longest_statement_counts() {
    let cases = [
        Case {
            name: "one",
            stated: &[(0, "2")],
            ends_at: Some(2_000),
        },
        Case {
            name: "a fraction",
            stated: &[(0, " 1.5 ")],
            ends_at: Some(1_500),
        },
        Case {
            name: "none",
            stated: &[(0, "0")],
            ends_at: None,
        },
        Case {
            name: "a longer one replaces a shorter one",
            stated: &[(0, "2"), (500, "3")],
            ends_at: Some(3_500),
        },
        Case {
            name: "a shorter one does not replace a longer one",
            stated: &[(0, "4"), (500, "1"), (600, "0")],
            ends_at: Some(4_000),
        },
        Case {
            name: "another one after the end of the first",
            stated: &[(0, "1"), (5_000, "1")],
            ends_at: Some(6_000),
        },
    ];
    for case in cases {
        let mut pause = Pause::default();
        for (millis, text) in case.stated {
            pause.record(at(*millis), text.parse().unwrap());
        }
        let last = case.stated.last().map_or(0, |(millis, _)| *millis);
        let left = case.ends_at.map(|end| Span::from_millis(end - last));
        assert_eq!(pause.left(at(last)), left, "{}", case.name);
        let end = at(case.ends_at.unwrap_or(last));
        assert_eq!(pause.left(end), None, "{}", case.name);
    }
}

/// Guards against a walk through all requests that wait at each refusal of a busy target: a thousand
/// refusals in a second judge them at most once in 100 ms, and one that adds less does not.
#[test]
fn storm_of_refusals_does_not_judge_waiting_requests_each_time() {
    let mut pause = Pause::default();
    let time: Time = "3".parse().unwrap();
    let changes: Vec<Change> = (0..1_000).map(|ms| pause.record(at(ms), time)).collect();
    assert_eq!(changes.iter().filter(|change| change.begins).count(), 1);
    assert!(changes[0].is_longer, "the first judges them");
    let judged = changes.iter().filter(|change| change.is_longer).count();
    assert_eq!(judged, 10);
    let shorter = pause.record(at(1_000), "1".parse().unwrap());
    assert_eq!(shorter, Change::default());
    let longer = pause.record(at(1_000), "9".parse().unwrap());
    assert!(longer.is_longer && !longer.begins);
}

/// Guards against texts that stop requests to a target for a time that it did not state.
#[test]
fn text_that_is_no_number_of_seconds_is_refused() {
    for text in [
        "",
        "soon",
        "-1",
        "NaN",
        "inf",
        "1s",
        "Fri, 31 Dec 1999 23:59:59 GMT",
    ] {
        assert!(text.parse::<Time>().is_err(), "{text:?}");
    }
}

/// Guards against a request that waits for a target which will not take it in time, and against one
/// that is refused or sent although the target takes it later.
#[test]
fn request_waits_for_half_of_its_time_at_most() {
    struct Case {
        name: &'static str,
        /// Time that the request has, in milliseconds.
        budget: u64,
        /// Whether it waits already when the pause begins.
        queued: bool,
        is_refused: bool,
    }
    let case = |name, budget, queued, is_refused| Case {
        name,
        budget,
        queued,
        is_refused,
    };
    let cases = [
        case("offered, enough time", 5_000, false, false),
        case("offered, too little time", 3_900, false, true),
        case("queued, enough time", 5_000, true, false),
        case("queued, too little time", 3_900, true, true),
    ];
    for case in cases {
        let mut queue = Queue::new(Settings {
            slots: 1,
            connections: 10,
            queue: 10,
            reserved_percent: 0,
        });
        let mut decisions = Vec::new();
        let first = request(1, 60_000);
        assert_eq!(queue.offer(at(0), first), Admission::Start);
        let second = request(2, case.budget);
        let time = Time(Span::from_secs(2));
        let refused = match case.queued {
            true => {
                assert_eq!(queue.offer(at(0), second), Admission::Wait);
                queue.record_pause(at(0), time);
                queue.refuse_paused(at(0), &mut decisions);
                let refusal = Decision::Refuse(second, Refusal::Full, time.0);
                decisions.contains(&refusal)
            }
            false => {
                queue.record_pause(at(0), time);
                queue.offer(at(0), second) == Admission::Refuse(Refusal::Full, time.0)
            }
        };
        assert_eq!(refused, case.is_refused, "{}", case.name);
        decisions.clear();
        queue.release(at(1_999), first.id, &mut decisions);
        assert_eq!(decisions, [], "{}", case.name);
        queue.set_limit(at(2_000), 1, &mut decisions);
        let started = decisions == [Decision::Start(second)];
        assert_eq!(started, !case.is_refused, "{}", case.name);
    }
}

fn request(number: u64, budget_ms: u64) -> Request {
    Request {
        id: request::Id {
            key: Digest(number),
            number,
        },
        caller: Caller(1),
        deadline: at(budget_ms),
        idempotent: true,
        exclusive: false,
    }
}
