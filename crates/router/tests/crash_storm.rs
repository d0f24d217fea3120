//! Tests of the leader's work on crashes while many targets end, in virtual time.

use std::collections::BTreeSet;

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{
    crash::{Aggregator, Crash, MAX_EVALUATION_STEPS, Observer},
    registration::Incarnation,
};

/// Interval between two evaluations at least.
const EVALUATION_MS: u64 = 100;
/// Largest number of suspects that hosts are told.
const MAX_SUSPECTS: usize = 512;
/// Interval of the loop that asks for an evaluation.
const LOOP_MS: u64 = 50;
/// Time after the third crash from which its request must be refused.
const NOTICE_MS: u64 = 3_000;
/// Time from the first end of a loss until four targets have ended. Two ends alone may be those of a
/// request that crashes its targets.
const RECOGNITION_MS: u64 = 100;
/// A request that crashes its targets.
const CRASHING: Fingerprint = Fingerprint(1);
/// Harmless requests that are sent all the time.
const POPULAR: [Fingerprint; 3] = [Fingerprint(11), Fingerprint(12), Fingerprint(13)];
/// A harmless request that is not sent again.
const RARE: Fingerprint = Fingerprint(21);

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(10_000 + millis)
}

fn target(number: u64) -> Incarnation {
    Incarnation {
        id: format!("target-{number}").parse().unwrap(),
        start_ms: 1_000,
        address: ([127, 0, 0, 1], number as u16).into(),
    }
}

/// Targets that end within two seconds, with requests in flight.
struct Storm {
    name: &'static str,
    targets: u64,
    fingerprints: u64,
    in_flight: u64,
}

const STORMS: [Storm; 3] = [
    Storm {
        name: "a data centre",
        targets: 100,
        fingerprints: 300,
        in_flight: 8,
    },
    Storm {
        name: "all targets of a deployment",
        targets: 430,
        fingerprints: 700,
        in_flight: 20,
    },
    Storm {
        name: "all targets, each request of its own",
        targets: 430,
        fingerprints: 8_600,
        in_flight: 20,
    },
];

impl Storm {
    fn crash(&self, number: u64) -> Crash {
        let fingerprint = |n| Fingerprint(100 + (number * 31 + n * 7) % self.fingerprints);
        Crash {
            target: target(number),
            in_flight: (0..self.in_flight).map(fingerprint).collect(),
        }
    }

    /// Lets each crash be reported by five hosts, and by each of them again and again, while requests
    /// of suspects are answered. Calls a function after each event.
    fn play(&self, mut check: impl FnMut(u64, &mut Aggregator)) {
        let mut aggregator = Aggregator::default();
        for millis in 0_u64..6_000 {
            for number in 0..self.targets {
                let since = millis.checked_sub(number * 2_000 / self.targets);
                if since.is_some_and(|since| since % 400 < 250 && since % 50 == 0) {
                    aggregator.record_loss(at(millis), &target(number));
                    aggregator.add(at(millis), self.crash(number));
                }
            }
            if millis % 5 == 0 {
                let fingerprint = 100 + millis / 5 % self.fingerprints;
                aggregator.clear_suspect(Fingerprint(fingerprint));
            }
            if millis % LOOP_MS == 0 {
                aggregator.decide(at(millis));
            }
            check(millis, &mut aggregator);
        }
    }
}

/// Guards against verdicts that change with each report and each answer: every change makes the
/// leader answer all hosts again.
#[test]
fn verdicts_of_a_storm_change_at_a_fixed_pace() {
    for storm in &STORMS {
        let mut reports_until = 0;
        let mut last = 0;
        storm.play(|millis, aggregator| {
            reports_until = millis;
            last = aggregator.version();
        });
        let most = reports_until / EVALUATION_MS + 1;
        assert!(last <= most, "{}: {last} versions", storm.name);
    }
}

/// Guards against verdicts that grow with the number of requests in flight, since each host gets all.
#[test]
fn verdicts_of_a_storm_are_bounded() {
    for storm in &STORMS {
        let mut most = 0;
        storm.play(|millis, aggregator| {
            if millis % EVALUATION_MS == 0 {
                most = most.max(aggregator.verdicts().suspects.len());
            }
        });
        assert!(most <= MAX_SUSPECTS, "{}: {most} suspects", storm.name);
        assert!(most > 0, "{}: nothing is suspected", storm.name);
    }
}

/// Guards against work that grows with the number of crashes that are remembered, or with how often
/// each is reported.
#[test]
fn work_of_a_storm_is_bounded() {
    for storm in &STORMS {
        let mut steps = 0;
        let mut most = 0;
        storm.play(|millis, aggregator| {
            let reported = storm.targets * storm.in_flight + 1;
            most = most.max((aggregator.steps() - steps).saturating_sub(reported));
            steps = aggregator.steps();
            assert!(millis > 0 || steps <= reported, "{}", storm.name);
        });
        assert!(most <= MAX_EVALUATION_STEPS, "{}: {most} steps", storm.name);
    }
}

/// Guards against evaluations while nothing is new, and against known crashes that are evaluated again.
#[test]
fn known_crash_costs_one_lookup_for_each_fingerprint() {
    let mut aggregator = Aggregator::default();
    let storm = &STORMS[1];
    for number in 0..storm.targets {
        aggregator.add(at(0), storm.crash(number));
    }
    for millis in (0..2_000).step_by(100) {
        aggregator.decide(at(millis));
    }
    let (version, verdicts) = (aggregator.version(), aggregator.verdicts());
    for millis in (2_000..4_000).step_by(100) {
        let before = aggregator.steps();
        for number in 0..storm.targets {
            aggregator.add(at(millis), storm.crash(number));
        }
        let added = aggregator.steps() - before;
        assert_eq!(added, storm.targets * storm.in_flight);
        aggregator.decide(at(millis));
        let evaluated = aggregator.steps() - before - added;
        assert!(evaluated <= storm.fingerprints, "{evaluated} steps");
    }
    assert_eq!(aggregator.version(), version);
    assert_eq!(aggregator.verdicts(), verdicts);
}

/// A request that crashes its targets while others are lost.
struct Scenario {
    name: &'static str,
    /// Milliseconds at which it crashes a target, if it is not refused.
    crashes_ms: Vec<u64>,
    /// Milliseconds at which other targets are lost.
    losses_ms: Vec<u64>,
    /// Milliseconds at which another host begins to lead, which got no reports.
    leaders_ms: Vec<u64>,
    /// Largest number of targets that it may crash.
    max_crashes: usize,
}

/// The system in a scenario.
#[derive(Default)]
struct Cluster {
    aggregator: Aggregator,
    /// State of the host that leads next, which sees ends and gets no reports.
    next: Aggregator,
    observer: Observer,
    refused: BTreeSet<Fingerprint>,
}

impl Cluster {
    fn is_refused(&self, millis: u64, fingerprint: Fingerprint) -> bool {
        self.observer.is_quarantined(at(millis), fingerprint) || self.observer.is_held(fingerprint)
    }

    fn end(&mut self, millis: u64, number: u64, in_flight: &[Fingerprint]) {
        for fingerprint in in_flight {
            let sent = at(millis - 1);
            self.observer
                .record_unanswered(&target(number), *fingerprint, sent);
        }
        self.aggregator.record_loss(at(millis), &target(number));
        self.next.record_loss(at(millis), &target(number));
        self.observer.record_end(at(millis), &target(number));
    }

    /// Lets a host and the leader exchange what they know.
    fn exchange(&mut self, millis: u64) {
        let report = self.observer.report();
        for crash in &report.crashes {
            self.aggregator.add(at(millis), crash.clone());
        }
        for fingerprint in &report.answered {
            self.aggregator.clear_suspect(*fingerprint);
        }
        self.observer.acknowledge(at(millis), &report);
        for fingerprint in self.aggregator.decide(at(millis)) {
            self.observer.quarantine(at(millis), fingerprint, true);
        }
        let verdicts = self.aggregator.verdicts();
        self.observer.set_verdicts(at(millis), verdicts);
    }

    fn lead_anew(&mut self) {
        self.aggregator = std::mem::take(&mut self.next);
        self.observer.report_again();
    }
}

fn many(from: u64, until: u64, step: u64) -> Vec<u64> {
    (from..until).step_by(step as usize).collect()
}

/// Guards against a request that goes on crashing targets because others end at the same time, and
/// against harmless requests that are refused because they were in flight at many ends.
#[test]
fn only_the_crashing_request_is_refused_in_a_loss_of_many_targets() {
    let cases = [
        Scenario {
            name: "no crashing request",
            crashes_ms: vec![],
            losses_ms: [many(0, 2_000, 20), many(5_000, 7_000, 20)].concat(),
            leaders_ms: vec![3_000],
            max_crashes: 0,
        },
        Scenario {
            name: "the second crash in a loss of 100 targets",
            crashes_ms: many(500, 30_000, 3_700),
            losses_ms: many(3_500, 5_500, 20),
            leaders_ms: vec![],
            max_crashes: 3,
        },
        Scenario {
            name: "each crash in a loss of 100 targets",
            crashes_ms: many(500, 30_000, 3_700),
            losses_ms: [
                many(0, 2_000, 20),
                many(3_700, 5_700, 20),
                many(7_000, 9_000, 20),
            ]
            .concat(),
            leaders_ms: vec![],
            max_crashes: 3,
        },
        Scenario {
            name: "targets end all the time",
            crashes_ms: many(500, 30_000, 2_500),
            losses_ms: many(0, 20_000, 200),
            leaders_ms: vec![],
            max_crashes: 3,
        },
        Scenario {
            name: "another host leads after the second crash",
            crashes_ms: many(500, 30_000, 3_700),
            losses_ms: [
                many(0, 2_000, 20),
                many(3_700, 5_700, 20),
                many(7_000, 9_000, 20),
            ]
            .concat(),
            leaders_ms: vec![6_500],
            max_crashes: 3,
        },
        Scenario {
            name: "three crashes within one loss",
            crashes_ms: many(100, 30_000, 700),
            losses_ms: many(0, 2_000, 20),
            leaders_ms: vec![],
            max_crashes: 7,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::default();
        let mut crashed_ms = Vec::new();
        for millis in 1_u64..30_000 {
            if case.leaders_ms.contains(&millis) {
                cluster.lead_anew();
            }
            if case.losses_ms.contains(&millis) {
                let popular = POPULAR[millis as usize / 20 % 3];
                let first = case.losses_ms[0];
                let rare = (millis < first + 200).then_some(RARE);
                let in_flight: Vec<Fingerprint> = [popular].into_iter().chain(rare).collect();
                cluster.end(millis, 1_000 + millis, &in_flight);
            }
            let is_due = case.crashes_ms.contains(&millis);
            if is_due && !cluster.is_refused(millis, CRASHING) {
                crashed_ms.push(millis);
                cluster.end(millis, 50_000 + millis, &[CRASHING, POPULAR[0]]);
            }
            if millis % 100 == 50 {
                for fingerprint in POPULAR {
                    cluster.observer.record_answer(fingerprint, at(millis - 20));
                }
            }
            if millis % 300 == 0 {
                cluster.exchange(millis);
            }
            let first = case.losses_ms.first().copied().unwrap_or(0);
            let is_recognised = millis >= first + RECOGNITION_MS;
            for fingerprint in POPULAR.into_iter().chain([RARE]) {
                if is_recognised && cluster.is_refused(millis, fingerprint) {
                    cluster.refused.insert(fingerprint);
                }
            }
        }
        assert!(
            cluster.refused.is_empty(),
            "{}: refused {:?}",
            case.name,
            cluster.refused
        );
        assert!(
            crashed_ms.len() <= case.max_crashes,
            "{}: crashes at {crashed_ms:?}",
            case.name
        );
        let third = crashed_ms.get(2).copied().unwrap_or(u64::MAX - NOTICE_MS);
        let late = crashed_ms.iter().filter(|at| **at > third + NOTICE_MS);
        assert_eq!(late.count(), 0, "{}: {crashed_ms:?}", case.name);
    }
}

/// Guards against a host that refuses the requests that it had in flight at targets of one loss until
/// the leader has acknowledged their ends.
#[test]
fn own_requests_of_a_loss_of_many_targets_are_not_held() {
    let mut cluster = Cluster::default();
    cluster.end(10, 1, &POPULAR);
    cluster.exchange(20);
    for number in 2..12 {
        cluster.end(400 + number, number, &POPULAR);
    }
    for fingerprint in POPULAR {
        assert!(!cluster.is_refused(450, fingerprint), "{fingerprint}");
    }
}
