//! Tests of the detection of requests that crash their targets, in virtual time.

use std::collections::BTreeSet;

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{
    crash::{Aggregator, Crash, Observer, Permission, Report},
    registration::Incarnation,
};

/// Time until a crash is evaluated.
const VERDICT: Span = Span::from_millis(1_000);

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(10_000 + millis)
}

fn target(number: u16) -> Incarnation {
    Incarnation {
        id: format!("target-{number}").parse().unwrap(),
        start_ms: 1_000,
        address: ([127, 0, 0, 1], number).into(),
    }
}

fn crash(number: u16, in_flight: &[u64]) -> Crash {
    Crash {
        target: target(number),
        in_flight: in_flight.iter().map(|f| Fingerprint(*f)).collect(),
    }
}

/// How a request and its target went on.
struct End {
    name: &'static str,
    /// Milliseconds from the request until its target ended.
    delay_ms: u64,
    /// When a connection was opened on which the target answered, and when its request was sent, in
    /// milliseconds from the request.
    answer_ms: Option<(i64, i64)>,
    is_crash: bool,
}

/// Guards against ends of targets that count as no crash, and against crashes of targets that live.
#[test]
fn request_without_answer_is_suspected_if_its_target_ends() {
    let cases = [
        End {
            name: "it refuses connections at once",
            delay_ms: 5,
            answer_ms: None,
            is_crash: true,
        },
        End {
            name: "its entry lapses",
            delay_ms: 4_020,
            answer_ms: None,
            is_crash: true,
        },
        End {
            name: "it lived on",
            delay_ms: 4_020,
            answer_ms: Some((-500, 100)),
            is_crash: false,
        },
        End {
            name: "the next process at its address answers",
            delay_ms: 4_020,
            answer_ms: Some((50, 100)),
            is_crash: true,
        },
        End {
            name: "it had answered before",
            delay_ms: 100,
            answer_ms: Some((-500, -100)),
            is_crash: true,
        },
        End {
            name: "it ends much later",
            delay_ms: 30_000,
            answer_ms: None,
            is_crash: false,
        },
    ];
    for case in cases {
        let mut observer = Observer::default();
        observer.record_unanswered(&target(1), Fingerprint(7), at(0));
        if let Some((opened, sent)) = case.answer_ms {
            let time = |millis: i64| at(1_000) + Span::from_millis((millis + 1_000) as u64);
            let shifted = |millis: i64| Instant(time(millis).0 - 2_000_000);
            observer.record_alive(&target(1), shifted(opened), shifted(sent));
        }
        let crash = observer.record_end(at(case.delay_ms), &target(1));
        assert_eq!(crash.is_some(), case.is_crash, "{}", case.name);
    }
}

/// Guards against crashes that are lost with a report that does not reach the leader, or with the
/// leader.
#[test]
fn crash_is_reported_until_each_leader_has_it() {
    let mut observer = Observer::default();
    observer.record_unanswered(&target(1), Fingerprint(7), at(0));
    observer.record_end(at(10), &target(1));
    let report = observer.report();
    assert_eq!(report.crashes, [crash(1, &[7])]);
    assert_eq!(observer.report(), report, "a failed exchange loses nothing");
    observer.acknowledge(at(300), &report);
    assert_eq!(observer.report(), Report::default());
    observer.report_again();
    assert_eq!(observer.report(), report, "the next leader gets it too");
}

/// Guards against a request that the next leader suspects although it has run since the crash, and
/// against a crash that the next leader does not get since another request has run.
#[test]
fn next_leader_does_not_suspect_requests_that_ran_since_the_crash() {
    let cases = [
        ("one of two has run", 150, vec![crash(1, &[8])]),
        ("it was sent before", 50, vec![crash(1, &[7, 8])]),
    ];
    for (name, sent_ms, expected) in cases {
        let mut observer = Observer::default();
        observer.record_unanswered(&target(1), Fingerprint(7), at(0));
        observer.record_unanswered(&target(1), Fingerprint(8), at(0));
        observer.record_end(at(10), &target(1));
        let report = observer.report();
        observer.acknowledge(at(80), &report);
        let mut aggregator = Aggregator::default();
        aggregator.add(at(80), crash(1, &[7, 8]));
        aggregator.decide(at(80));
        observer.set_verdicts(at(100), aggregator.verdicts());
        observer.record_answer(Fingerprint(7), at(sent_ms));
        observer.report_again();
        assert_eq!(observer.report().crashes, expected, "{name}");
    }
}

/// Guards against a host that leads a second time and still suspects requests which ran while another
/// host led, and against one that forgets quarantined requests with them.
#[test]
fn host_that_leads_again_knows_what_it_is_told_then() {
    let mut aggregator = Aggregator::default();
    aggregator.add(at(0), crash(1, &[7]));
    assert!(aggregator.decide(at(1_000)).is_empty());
    aggregator.forget_reports();
    aggregator.add(at(20_000), crash(2, &[7]));
    assert!(aggregator.decide(at(21_000)).is_empty(), "one crash counts");
    aggregator.add(at(22_000), crash(3, &[7]));
    let found = aggregator.decide(at(23_000));
    assert_eq!(found, [Fingerprint(7)], "two crashes count");
    aggregator.forget_reports();
    let version = aggregator.version();
    aggregator.add(at(24_000), crash(4, &[7]));
    aggregator.decide(at(25_000));
    assert!(aggregator.verdicts().suspects.is_empty());
    assert!(aggregator.version() <= version + 1);
}

/// Guards against an answer that clears a suspicion although it is older than the crash.
#[test]
fn only_answers_to_later_requests_clear_a_suspicion() {
    let mut observer = Observer::default();
    let mut aggregator = Aggregator::default();
    aggregator.add(at(0), crash(1, &[7]));
    assert!(aggregator.decide(at(0)).is_empty());
    observer.set_verdicts(at(100), aggregator.verdicts());
    observer.record_answer(Fingerprint(7), at(50));
    assert!(observer.report().answered.is_empty());
    observer.record_answer(Fingerprint(7), at(150));
    assert_eq!(observer.report().answered, BTreeSet::from([Fingerprint(7)]));
}

/// Guards against a popular request that counts as the cause when a data centre falls silent.
#[test]
fn request_that_other_targets_answer_is_not_suspected() {
    let mut observer = Observer::default();
    observer.record_unanswered(&target(1), Fingerprint(7), at(0));
    observer.record_answer(Fingerprint(7), at(200));
    assert_eq!(observer.record_end(at(4_000), &target(1)), None);
}

/// Guards against requests that count as the cause although they were sent to a target that had
/// fallen silent before.
#[test]
fn request_sent_long_after_a_target_fell_silent_is_not_suspected() {
    let mut observer = Observer::default();
    observer.record_unanswered(&target(1), Fingerprint(7), at(0));
    observer.record_unanswered(&target(1), Fingerprint(8), at(2_000));
    let ended = observer.record_end(at(4_000), &target(1));
    assert_eq!(ended, Some(crash(1, &[7])));
}

/// Guards against a request that ends its target and is not suspected, since another one had no answer
/// of the target in time long before.
#[test]
fn request_whose_connection_breaks_is_suspected_after_an_earlier_timeout() {
    let mut observer = Observer::default();
    observer.record_unanswered(&target(1), Fingerprint(8), at(0));
    observer.record_break(&target(1), Fingerprint(7), at(5_100));
    let ended = observer.record_end(at(5_300), &target(1));
    assert_eq!(ended, Some(crash(1, &[7, 8])));
}

/// A series of crashes, each with the milliseconds at which it is reported, and its verdict.
struct Series {
    name: &'static str,
    crashes: Vec<(u64, Crash)>,
    quarantined: &'static [u64],
}

/// Guards against a request that goes on crashing targets, and against verdicts on honest ones.
#[test]
fn requests_are_judged_by_the_crashes_under_them() {
    let lost =
        |from: u16| (from..from + 6).map(|n| (u64::from(n), crash(n, &[7, u64::from(n) + 100])));
    let cases = [
        Series {
            name: "alone under two",
            crashes: vec![(0, crash(1, &[7])), (2_000, crash(2, &[7]))],
            quarantined: &[7],
        },
        Series {
            name: "with others under two",
            crashes: vec![(0, crash(1, &[7, 8])), (2_000, crash(2, &[7, 9]))],
            quarantined: &[7],
        },
        Series {
            name: "one crash reported by two hosts, the second after its evaluation",
            crashes: vec![
                (0, crash(1, &[8])),
                (2_000, crash(1, &[7])),
                (4_000, crash(2, &[7])),
            ],
            quarantined: &[7],
        },
        Series {
            name: "the same crash reported twice",
            crashes: vec![(0, crash(1, &[7])), (2_000, crash(1, &[7]))],
            quarantined: &[],
        },
        Series {
            name: "under all targets that end together",
            crashes: lost(1).collect(),
            quarantined: &[7],
        },
        Series {
            name: "two under all targets of a data centre that is lost",
            crashes: (1..7).map(|n| (u64::from(n), crash(n, &[7, 8]))).collect(),
            quarantined: &[],
        },
        Series {
            name: "under all but one of the targets of a data centre that is lost",
            crashes: (1..7)
                .map(|n| (u64::from(n), crash(n, &[if n == 3 { 8 } else { 7 }])))
                .collect(),
            quarantined: &[],
        },
        Series {
            name: "under some targets of a data centre that is lost",
            crashes: (1..9)
                .map(|n| (u64::from(n), crash(n, &[u64::from(n) % 3])))
                .collect(),
            quarantined: &[],
        },
    ];
    for case in cases {
        let mut aggregator = Aggregator::default();
        let mut quarantined = BTreeSet::new();
        let mut crashes = case.crashes.into_iter().peekable();
        for millis in (0..10_000).step_by(1) {
            while let Some((_, crash)) = crashes.next_if(|(due, _)| *due <= millis) {
                aggregator.add(at(millis), crash);
            }
            quarantined.extend(aggregator.decide(at(millis)));
        }
        let expected = case.quarantined.iter().map(|f| Fingerprint(*f));
        assert_eq!(quarantined, expected.collect(), "{}", case.name);
    }
}

/// Guards against more crashes in the time until the leader's verdict.
#[test]
fn suspect_with_two_crashes_is_held_until_the_verdict() {
    let mut aggregator = Aggregator::default();
    let mut observer = Observer::default();
    aggregator.add(at(0), crash(1, &[7]));
    assert!(aggregator.decide(at(0)).is_empty());
    observer.set_verdicts(at(0), aggregator.verdicts());
    assert!(!observer.is_held(Fingerprint(7)), "one crash");
    observer.record_unanswered(&target(2), Fingerprint(7), at(100));
    observer.record_end(at(110), &target(2));
    assert!(observer.is_held(Fingerprint(7)), "its own second crash");
    aggregator.add(at(200), crash(2, &[7]));
    assert!(aggregator.decide(at(200)).is_empty());
    let mut other = Observer::default();
    other.set_verdicts(at(210), aggregator.verdicts());
    assert!(
        other.is_held(Fingerprint(7)),
        "the second crash at another host"
    );
    aggregator.clear_suspect(Fingerprint(7));
    assert!(aggregator.decide(at(300)).is_empty());
    other.set_verdicts(at(300), aggregator.verdicts());
    assert!(!other.is_held(Fingerprint(7)), "an answer");
    assert!(aggregator.decide(at(300) + VERDICT).is_empty());
}

/// Guards against a verdict on a request that was in flight at a few of many targets lost together.
#[test]
fn targets_lost_without_requests_count_as_lost_together() {
    let mut aggregator = Aggregator::default();
    for number in 1..4 {
        aggregator.add(at(0), crash(number, &[7]));
    }
    for number in 1..7 {
        aggregator.record_loss(at(100), &target(number));
    }
    assert!(aggregator.decide(at(0) + VERDICT).is_empty());
}

/// Guards against a popular request that no host sends any more, so that no answer can clear it, when
/// many targets are lost together.
#[test]
fn suspect_of_a_loss_of_many_targets_is_not_held() {
    let mut aggregator = Aggregator::default();
    for number in 1..7 {
        aggregator.add(at(0), crash(number, &[7]));
    }
    assert!(aggregator.decide(at(0)).is_empty());
    let verdicts = aggregator.verdicts();
    assert!(verdicts.suspects.contains(&Fingerprint(7)));
    assert!(verdicts.held.is_empty());
    aggregator.clear_suspect(Fingerprint(7));
    assert!(aggregator.decide(at(0) + VERDICT).is_empty());
}

/// A step of a suspected request.
#[derive(Clone, Copy)]
enum Step {
    /// A target ends with the request in flight, and the crash is reported.
    Crash(u16),
    /// Many targets end together, all but one without the request.
    Loss,
    /// A copy of the request asks whether it may run.
    Begin(Permission),
    /// A trial ends, with an answer or without.
    End(bool),
}

struct Course {
    name: &'static str,
    /// Steps with their times in milliseconds.
    steps: &'static [(u64, Step)],
}

/// Guards against copies of a crashing request that are sent to the next target together, and against
/// harmless requests that wait for each other after one of them has been answered.
#[test]
fn suspected_request_runs_one_copy_at_a_time() {
    use Permission::{Alone, Free, Wait};
    use Step::{Begin, Crash, End, Loss};
    let cases = [
        Course {
            name: "not suspected",
            steps: &[(0, Begin(Free)), (10, Begin(Free))],
        },
        Course {
            name: "at the end of one target",
            steps: &[(0, Crash(1)), (1_000, Begin(Alone)), (1_010, Begin(Wait))],
        },
        Course {
            name: "a trial that was not run",
            steps: &[
                (0, Crash(1)),
                (1_000, Begin(Alone)),
                (1_050, End(false)),
                (1_060, Begin(Alone)),
                (1_070, Begin(Wait)),
            ],
        },
        Course {
            name: "a trial that was answered",
            steps: &[
                (0, Crash(1)),
                (1_000, Begin(Alone)),
                (1_050, End(true)),
                (1_060, Begin(Free)),
                (1_070, Begin(Free)),
            ],
        },
        Course {
            name: "a trial whose end is not told",
            steps: &[
                (0, Crash(1)),
                (1_000, Begin(Alone)),
                (2_400, Begin(Wait)),
                (2_600, Begin(Alone)),
            ],
        },
        Course {
            name: "a trial that ends its target",
            steps: &[
                (0, Crash(1)),
                (1_000, Begin(Alone)),
                (1_300, Crash(2)),
                (1_900, Begin(Wait)),
                (3_000, Begin(Wait)),
                (60_000, Begin(Wait)),
            ],
        },
        Course {
            name: "in a loss of many targets",
            steps: &[
                (0, Loss),
                (0, Crash(1)),
                (1_000, Begin(Free)),
                (1_010, Begin(Free)),
            ],
        },
    ];
    for case in cases {
        let mut aggregator = Aggregator::default();
        let mut steps = case.steps.iter().peekable();
        for millis in 0..=60_000 {
            while let Some((_, step)) = steps.next_if(|(due, _)| *due <= millis) {
                match step {
                    Crash(number) => aggregator.add(at(millis), crash(*number, &[7])),
                    Loss => (11..17).for_each(|n| aggregator.record_loss(at(millis), &target(n))),
                    Begin(expected) => {
                        let permission = aggregator.begin_trial(at(millis), Fingerprint(7));
                        assert_eq!(permission, *expected, "{} at {millis} ms", case.name);
                    }
                    End(is_answered) => aggregator.end_trial(Fingerprint(7), *is_answered),
                }
            }
            aggregator.decide(at(millis));
        }
    }
}
