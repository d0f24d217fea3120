//! Age of relayed records at which a host reads the store itself.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::fallback::{Fallback, outage_interval, usual_relay_age};

/// Bound on the age of a configuration.
const BOUND: Span = Span::from_millis(2_500);
/// Age up to which a host with fast reads relies on relayed records.
const USUAL: Span = Span::from_millis(1_800);

struct Case {
    name: &'static str,
    /// Time that an own read took.
    read_ms: u64,
    /// Lateness of the event loop.
    lag_ms: u64,
    /// Time since the read.
    passed_ms: u64,
    /// Largest and least age at which the host still relies on relayed records.
    at_most_ms: u64,
    at_least_ms: u64,
}

fn at(ms: u64) -> Instant {
    Instant(Span::from_millis(100_000 + ms).0)
}

/// Guards against a slow or late host that starts its own read so late that it acts on a configuration
/// that is older than the bound, and against needless reads of a fast host.
#[test]
fn slow_and_late_hosts_read_the_store_earlier() {
    let cases = [
        Case {
            name: "fast",
            read_ms: 60,
            lag_ms: 10,
            passed_ms: 0,
            at_most_ms: 1_800,
            at_least_ms: 1_800,
        },
        Case {
            name: "slow reads",
            read_ms: 500,
            lag_ms: 0,
            passed_ms: 0,
            at_most_ms: 1_500,
            at_least_ms: 1_000,
        },
        Case {
            name: "late event loop",
            read_ms: 300,
            lag_ms: 400,
            passed_ms: 0,
            at_most_ms: 1_500,
            at_least_ms: 1_000,
        },
        Case {
            name: "no earlier than relayed records arrive in normal operation",
            read_ms: 5_000,
            lag_ms: 5_000,
            passed_ms: 0,
            at_most_ms: 1_000,
            at_least_ms: 1_000,
        },
        Case {
            name: "slow a while ago",
            read_ms: 500,
            lag_ms: 0,
            passed_ms: 30_000,
            at_most_ms: 1_800,
            at_least_ms: 1_800,
        },
    ];
    for case in cases {
        let mut fallback = Fallback::default();
        fallback.record_read(at(0), Span::from_millis(case.read_ms));
        let lag = Span::from_millis(case.lag_ms);
        let age = fallback.max_relay_age(at(case.passed_ms), lag, BOUND, USUAL);
        let name = case.name;
        assert!(age.as_millis() <= case.at_most_ms, "{name}: {age}");
        assert!(age.as_millis() >= case.at_least_ms, "{name}: {age}");
    }
}

/// An event of the exchange with the leader.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A report is sent whose answer is due after a time.
    Sent {
        due_ms: u64,
    },
    Answered,
    Failed,
}

struct Exchange {
    name: &'static str,
    events: &'static [(u64, Event)],
    now_ms: u64,
    is_late: bool,
}

/// Guards against a host that believes the age of earlier answers while the leader is silent, and
/// reads the store only shortly before the bound.
#[test]
fn host_reads_the_store_as_soon_as_the_leader_is_late() {
    use Event::{Answered, Failed, Sent};
    let cases = [
        Exchange {
            name: "no report yet",
            events: &[],
            now_ms: 0,
            is_late: false,
        },
        Exchange {
            name: "answer is not due yet",
            events: &[(0, Sent { due_ms: 900 })],
            now_ms: 800,
            is_late: false,
        },
        Exchange {
            name: "answer is due",
            events: &[(0, Sent { due_ms: 900 })],
            now_ms: 900,
            is_late: true,
        },
        Exchange {
            name: "answer arrived",
            events: &[(0, Sent { due_ms: 900 }), (950, Answered)],
            now_ms: 950,
            is_late: false,
        },
        Exchange {
            name: "refused at once",
            events: &[(0, Sent { due_ms: 900 }), (5, Failed)],
            now_ms: 5,
            is_late: true,
        },
        Exchange {
            name: "next report after one without an answer",
            events: &[
                (0, Sent { due_ms: 900 }),
                (1_300, Failed),
                (1_400, Sent { due_ms: 2_300 }),
            ],
            now_ms: 1_500,
            is_late: true,
        },
        Exchange {
            name: "answer after one that failed",
            events: &[
                (0, Sent { due_ms: 900 }),
                (1_300, Failed),
                (1_400, Sent { due_ms: 2_300 }),
                (1_600, Answered),
            ],
            now_ms: 1_700,
            is_late: false,
        },
    ];
    for case in cases {
        let mut fallback = Fallback::default();
        for (ms, event) in case.events {
            match event {
                Sent { due_ms } => fallback.expect_answer(at(*due_ms)),
                Answered => fallback.answer_arrived(),
                Failed => fallback.answer_failed(at(*ms)),
            }
        }
        let age = fallback.max_relay_age(at(case.now_ms), Span::ZERO, BOUND, USUAL);
        let expected = match case.is_late {
            true => Span::from_millis(1_000),
            false => USUAL,
        };
        assert_eq!(age, expected, "{}", case.name);
    }
}

struct Turn {
    name: &'static str,
    /// Time since the last read that the store did not answer; none if it answered.
    failed_ms: Option<u64>,
    /// Whether the relay states that the store does not answer it either.
    states_outage: bool,
    waits: bool,
}

/// Guards against a host that does not read the store since the store refuses its relay, or since its
/// relay is slow or lacks records, and against hundreds of hosts that all try a store which is down.
#[test]
fn only_a_host_that_the_store_does_not_answer_as_its_relay_waits_for_its_turn() {
    let interval = outage_interval(300);
    assert_eq!(interval, Span::from_secs(6));
    let turns = [
        Turn {
            name: "the store answered this host, not its relay",
            failed_ms: None,
            states_outage: true,
            waits: false,
        },
        Turn {
            name: "the store did not answer this host a moment ago, and its relay states nothing",
            failed_ms: Some(100),
            states_outage: false,
            waits: false,
        },
        Turn {
            name: "the store answers neither",
            failed_ms: Some(100),
            states_outage: true,
            waits: true,
        },
        Turn {
            name: "the first read that failed is repeated",
            failed_ms: Some(300),
            states_outage: true,
            waits: false,
        },
        Turn {
            name: "the turn has come",
            failed_ms: Some(6_000),
            states_outage: true,
            waits: false,
        },
    ];
    for turn in turns {
        let mut fallback = Fallback::default();
        fallback.read_failed(at(0), interval);
        if turn.failed_ms.is_none() {
            fallback.read_answered();
        }
        let now = at(turn.failed_ms.unwrap_or_default());
        let waits = fallback.waits_for_turn(now, interval, turn.states_outage);
        assert_eq!(waits, turn.waits, "{}", turn.name);
        let again = fallback.waits_for_turn(now, interval, turn.states_outage);
        let has_failed = turn.failed_ms.is_some();
        assert_eq!(
            again,
            has_failed && turn.states_outage,
            "{}, again",
            turn.name
        );
    }
}

struct Usual {
    name: &'static str,
    /// Age up to which a host that no others report to relies on relayed records.
    of_host_ms: u64,
    is_relay: bool,
    expected_ms: u64,
}

/// Guards against a host that relies on older records than its bound allows since relays need time to
/// pass them on, and against a relay that reads the store no earlier than its hosts.
#[test]
fn relays_lengthen_no_bound_of_a_host() {
    let cases = [
        Usual {
            name: "host",
            of_host_ms: 1_800,
            is_relay: false,
            expected_ms: 1_800,
        },
        Usual {
            name: "relay",
            of_host_ms: 1_800,
            is_relay: true,
            expected_ms: 1_100,
        },
        Usual {
            name: "host with a short bound",
            of_host_ms: 800,
            is_relay: false,
            expected_ms: 800,
        },
        Usual {
            name: "relay with a short bound",
            of_host_ms: 800,
            is_relay: true,
            expected_ms: 800,
        },
    ];
    for case in cases {
        let of_host = Span::from_millis(case.of_host_ms);
        let usual = usual_relay_age(of_host, case.is_relay);
        let expected = Span::from_millis(case.expected_ms);
        assert_eq!(usual, expected, "{}", case.name);
        let mut fallback = Fallback::default();
        fallback.set_relays(1);
        fallback.answer_failed(at(0));
        let late = fallback.max_relay_age(at(0), Span::ZERO, BOUND, usual);
        assert!(late <= usual, "{}, late relay: {late}", case.name);
    }
}

/// Guards against a host that reads nothing for seconds after one connection to the store was lost,
/// while its relay is cut off from the store.
#[test]
fn host_reads_the_store_soon_after_one_lost_connection() {
    let interval = outage_interval(300);
    let mut fallback = Fallback::default();
    fallback.read_failed(at(0), interval);
    // Reads of other topics fail at the same moment.
    fallback.read_failed(at(50), interval);
    let reads = |fallback: &mut Fallback, from_ms: u64, to_ms: u64| {
        let due = |ms: &u64| !fallback.waits_for_turn(at(*ms), interval, true);
        (from_ms..to_ms).step_by(50).filter(due).count()
    };
    assert_eq!(reads(&mut fallback, 50, 500), 1, "soon after");
    fallback.read_failed(at(500), interval);
    assert_eq!(
        reads(&mut fallback, 500, 6_000),
        0,
        "while the store is down"
    );
    assert_eq!(reads(&mut fallback, 6_000, 12_000), 1, "in its turn");
    fallback.read_answered();
    assert!(reads(&mut fallback, 12_000, 13_000) > 1, "once it answers");
}
