//! Detection of a target's restart from the connections to it.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::restart::{Bounds, Detector, Exchange};

#[derive(Clone, Copy)]
enum Event {
    Break(u64),
    Refusal(u64),
    /// An answer, with the times at which its connection was established, its request was sent and
    /// it was received.
    Answer(u64, u64, u64),
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    now: u64,
    listed: u64,
    is_suspected: bool,
}

fn at(millis: u64) -> Instant {
    Instant(Span::from_secs(100).0) + Span::from_millis(millis)
}

fn detector(events: &[Event]) -> Detector {
    let mut detector = Detector::default();
    for event in events {
        match *event {
            Event::Break(millis) => detector.record_break(at(millis)),
            Event::Refusal(millis) => detector.record_refusal(at(millis)),
            Event::Answer(opened, sent, answered) => detector.record_answer(Exchange {
                opened_at: at(opened),
                sent_at: at(sent),
                answered_at: at(answered),
            }),
        }
    }
    detector
}

/// Guards against full load on a target that restarted under its id and answers before its entry
/// reaches the hosts, and against the rate of a cold target at one that is warm.
#[test]
fn target_is_suspected_until_its_incarnation_is_known() {
    use Event::{Answer, Break, Refusal};
    // The heartbeat is 800 ms and the cold start 3,000 ms.
    let cases = [
        Case {
            name: "no break",
            events: vec![Answer(0, 10, 20)],
            now: 30,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "one cut answer",
            events: vec![Break(100), Answer(110, 120, 130)],
            now: 140,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "one cut answer after each of two answers",
            events: vec![
                Break(100),
                Answer(110, 120, 130),
                Break(140),
                Answer(150, 160, 170),
            ],
            now: 180,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "two breaks, no answer yet",
            events: vec![Break(100), Break(101)],
            now: 110,
            listed: 110,
            is_suspected: true,
        },
        Case {
            name: "two breaks, then an answer on a new connection",
            events: vec![Break(100), Break(101), Answer(500, 510, 520)],
            now: 600,
            listed: 600,
            is_suspected: true,
        },
        Case {
            name: "a refused connection, then an answer on a new one",
            events: vec![Refusal(100), Answer(500, 510, 520)],
            now: 600,
            listed: 600,
            is_suspected: true,
        },
        Case {
            name: "two breaks, then an answer on an older connection",
            events: vec![Break(100), Break(101), Answer(50, 110, 120)],
            now: 130,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "two breaks, an answer on a new connection, then one on an older connection",
            events: vec![
                Break(100),
                Break(101),
                Answer(110, 111, 112),
                Answer(50, 113, 120),
            ],
            now: 130,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "an answer that the target may have sent before it ended",
            events: vec![Break(100), Break(101), Answer(50, 90, 102)],
            now: 130,
            listed: 0,
            is_suspected: true,
        },
        Case {
            name: "an answer on a connection that was established between the breaks",
            events: vec![Break(100), Break(300), Answer(200, 310, 320)],
            now: 330,
            listed: 0,
            is_suspected: true,
        },
        Case {
            name: "the list is not a heartbeat newer than the first answer",
            events: vec![Refusal(100), Answer(500, 510, 520), Answer(500, 900, 910)],
            now: 1_400,
            listed: 1_319,
            is_suspected: true,
        },
        Case {
            name: "the list is a heartbeat newer than the first answer",
            events: vec![Refusal(100), Answer(500, 510, 520), Answer(500, 900, 910)],
            now: 1_400,
            listed: 1_320,
            is_suspected: false,
        },
        Case {
            name: "no newer list, before the end of the cold start",
            events: vec![Refusal(100), Answer(500, 510, 520)],
            now: 3_519,
            listed: 0,
            is_suspected: true,
        },
        Case {
            name: "no newer list, at the end of the cold start",
            events: vec![Refusal(100), Answer(500, 510, 520)],
            now: 3_520,
            listed: 0,
            is_suspected: false,
        },
        Case {
            name: "a break after the first answer",
            events: vec![Refusal(100), Answer(500, 510, 520), Break(1_000)],
            now: 1_400,
            listed: 1_400,
            is_suspected: true,
        },
        Case {
            name: "no answer, and the entry may still be that of a target that ended",
            events: vec![Refusal(100)],
            now: 9_000,
            listed: 3_299,
            is_suspected: true,
        },
        Case {
            name: "no answer, and the entry would be gone if the target had ended",
            events: vec![Refusal(100)],
            now: 9_000,
            listed: 3_300,
            is_suspected: false,
        },
    ];
    for case in cases {
        let mut detector = detector(&case.events);
        let bounds = Bounds {
            listed_at: at(case.listed),
            heartbeat: Span::from_millis(800),
            cold_start: Span::from_millis(3_000),
        };
        let is_suspected = detector.is_suspected(at(case.now), &bounds);
        assert_eq!(is_suspected, case.is_suspected, "{}", case.name);
    }
}

/// Guards against suspicion after a single cut answer at a target that was suspected before.
#[test]
fn cleared_suspicion_leaves_no_trace() {
    let mut detector = detector(&[Event::Refusal(100), Event::Answer(500, 510, 520)]);
    let bounds = Bounds {
        listed_at: at(1_400),
        heartbeat: Span::from_millis(800),
        cold_start: Span::from_millis(3_000),
    };
    assert!(!detector.is_suspected(at(1_400), &bounds));
    detector.record_break(at(1_500));
    assert!(!detector.is_suspected(at(1_501), &bounds));
}

/// Guards against suspicion of a target that reset some connections and keeps others, and against
/// trust in a connection that a target which ends has not closed yet.
#[test]
fn connection_that_survives_the_breaks_ends_the_suspicion() {
    struct Case {
        name: &'static str,
        opened: Option<u64>,
        now: u64,
        is_suspected: bool,
    }
    let cases = [
        Case {
            name: "no connection is open",
            opened: None,
            now: 200,
            is_suspected: true,
        },
        Case {
            name: "only a newer connection is open",
            opened: Some(150),
            now: 200,
            is_suspected: true,
        },
        Case {
            name: "an older connection is open right after the last break",
            opened: Some(50),
            now: 105,
            is_suspected: true,
        },
        Case {
            name: "an older connection is open",
            opened: Some(50),
            now: 200,
            is_suspected: false,
        },
    ];
    let bounds = Bounds {
        listed_at: at(0),
        heartbeat: Span::from_millis(800),
        cold_start: Span::from_millis(3_000),
    };
    for case in cases {
        let mut detector = detector(&[Event::Break(100), Event::Break(101)]);
        detector.check_survival(at(case.now), |before| {
            case.opened.is_some_and(|opened| at(opened) < before)
        });
        let is_suspected = detector.is_suspected(at(case.now), &bounds);
        assert_eq!(is_suspected, case.is_suspected, "{}", case.name);
    }
}
