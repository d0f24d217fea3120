//! Order and rate of surveys in a storm of targets that end.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    pace::{MAX_PROBE_DELAY, PROBE_INTERVAL, Turns},
    registration::Incarnation,
    survey::{
        Admission, BURST, Cause, Doubt, LOST_INTERVAL, MAX_UNDER_WAY, MAX_UNUSED_TIME,
        REPEAT_INTERVAL, START_INTERVAL, Schedule, UNREACHED_TIME,
    },
};

const START: Instant = Instant(100_000_000);
/// Interval at which requests fail at each target that has ended.
const FAILURE_INTERVAL: Span = Span::from_millis(100);
const RUN_TIME: Span = Span::from_secs(8);
const STEP: Span = Span::from_millis(10);

fn service(number: u16) -> name::Service {
    format!("service-{number}").parse().unwrap()
}

fn doubt(number: u16, services: u16, cause: Cause) -> Doubt {
    Doubt {
        service: service(number % services),
        target: Incarnation {
            id: format!("target-{number}").parse().unwrap(),
            start_ms: 1_000,
            address: ([127, 0, 0, 1], number).into(),
        },
        cause,
    }
}

/// Targets that end at once, while requests go on failing at each of them.
struct Storm {
    targets: u16,
    services: u16,
    /// Time that a survey takes.
    survey_time: Span,
    /// Whether the links are lost, and the targets have not ended.
    is_lost: bool,
}

impl Storm {
    /// Returns the times and targets of the surveys. Checks that no more than the allowed number are
    /// under way.
    fn surveys(&self) -> Vec<(Instant, Doubt)> {
        let mut schedule = Schedule::default();
        let mut started: Vec<(Instant, Doubt)> = Vec::new();
        let mut ends: Vec<Instant> = Vec::new();
        let mut now = START;
        while now.since(START) < RUN_TIME {
            let ended = ends.iter().filter(|end| **end <= now).count();
            for _ in 0..ended {
                if self.is_lost {
                    schedule.record_lost();
                }
                schedule.finish();
            }
            ends.retain(|end| *end > now);
            while let Some(doubt) = schedule.start(now, |_| true) {
                started.push((now, doubt));
                ends.push(now + self.survey_time);
            }
            let is_failing = !self.is_lost && now.since(START).0.is_multiple_of(FAILURE_INTERVAL.0);
            let is_failing = is_failing || now == START;
            for number in (0..self.targets).filter(|_| is_failing) {
                let doubt = doubt(number, self.services, Cause::Connect);
                if schedule.request(now, doubt.clone()) == Admission::Started {
                    started.push((now, doubt));
                    ends.push(now + self.survey_time);
                }
            }
            assert!(ends.len() <= MAX_UNDER_WAY, "{} under way", ends.len());
            now = now + STEP;
        }
        started
    }
}

/// Guards against surveys whose number grows with the targets that end at once, and against targets
/// that are never surveyed since others are surveyed again.
#[test]
fn storm_does_not_lift_the_surveys_above_their_rate() {
    struct Case {
        storm: Storm,
        /// Time within which each target is surveyed.
        all_within: Span,
    }
    let case = |targets, services, survey_ms, all_within_ms| Case {
        storm: Storm {
            targets,
            services,
            survey_time: Span::from_millis(survey_ms),
            is_lost: false,
        },
        all_within: Span::from_millis(all_within_ms),
    };
    let cases = [
        case(3, 1, 10, 0),
        case(100, 5, 10, 4_700),
        case(100, 5, 500, 6_600),
        case(430, 5, 10, 8_000),
    ];
    let second = Span::from_secs(1);
    let bound = BURST + (second.0 / START_INTERVAL.0) as usize;
    for Case { storm, all_within } in cases {
        let targets = storm.targets;
        let surveys = storm.surveys();
        let most = surveys.iter().enumerate().map(|(index, (at, _))| {
            let later = surveys[index..].iter();
            later.take_while(|(t, _)| t.since(*at) < second).count()
        });
        let most = most.max().unwrap_or_default();
        assert!(most <= bound, "{targets} targets: {most} in a second");
        let mut first: BTreeMap<&Incarnation, Instant> = BTreeMap::new();
        for (at, doubt) in &surveys {
            first.entry(&doubt.target).or_insert(*at);
        }
        let in_time = first.values().filter(|at| at.since(START) <= all_within);
        let expected = usize::from(targets).min((all_within.0 / START_INTERVAL.0) as usize + BURST);
        assert!(
            in_time.count() + 1 >= expected,
            "{targets} targets: {} are surveyed",
            first.len()
        );
        let mut last: BTreeMap<&Incarnation, Instant> = BTreeMap::new();
        for (at, doubt) in &surveys {
            let earlier = last.insert(&doubt.target, *at);
            let is_due = earlier.is_none_or(|earlier| at.since(earlier) >= REPEAT_INTERVAL);
            assert!(is_due, "{targets} targets: {doubt:?} again");
        }
    }
}

/// Guards against lost links that are found late, so that a host leads that can't renew grants, and
/// against surveys whose number grows with them.
#[test]
fn lost_links_are_found_within_their_bound() {
    const MAX_PER_S: usize = 167;
    let second = Span::from_secs(1);
    for targets in [100, 430] {
        let storm = Storm {
            targets,
            services: 5,
            survey_time: Span::from_millis(10),
            is_lost: true,
        };
        let surveys = storm.surveys();
        let most = surveys.iter().enumerate().map(|(index, (at, _))| {
            let later = surveys[index..].iter();
            later.take_while(|(t, _)| t.since(*at) < second).count()
        });
        let most = most.max().unwrap_or_default();
        assert!(most <= MAX_PER_S, "{targets} targets: {most} in a second");
        let in_time = surveys.iter().filter(|(at, _)| at.since(START) <= second);
        let expected = usize::from(targets).min((second.0 / LOST_INTERVAL.0) as usize);
        let found = in_time.count();
        assert!(found >= expected, "{targets} targets: {found} in time");
    }
}

/// Guards against a service whose lost links are found late, since the targets of another one are
/// surveyed first: two lost links stand for a service.
#[test]
fn services_are_surveyed_in_turn() {
    const LARGE: u16 = 100;
    let mut schedule = Schedule::default();
    for number in 0..LARGE {
        schedule.request(START, doubt(number, 1, Cause::Connect));
    }
    let small = |number| Doubt {
        service: service(1),
        ..doubt(number, 1, Cause::Connect)
    };
    schedule.request(START, small(LARGE));
    schedule.request(START, small(LARGE + 1));
    (0..BURST).for_each(|_| schedule.finish());
    let later = START + START_INTERVAL.scale(4, 1);
    let next: Vec<Doubt> = (0..4)
        .filter_map(|_| schedule.start(later, |_| true))
        .collect();
    let of_small = next.iter().filter(|doubt| doubt.service == service(1));
    assert_eq!(of_small.count(), 2, "{next:?}");
}

/// Guards against requests that are sent to a target to which no connection can be opened while it
/// waits for its survey, against a target that is not used for longer than that, and against one
/// that is not used since a single connection broke.
#[test]
fn targets_that_wait_after_a_failed_connection_are_not_used() {
    struct Case {
        name: &'static str,
        causes: &'static [Cause],
        is_unreached: bool,
    }
    let cases = [
        Case {
            name: "a connection could not be opened",
            causes: &[Cause::Connect],
            is_unreached: true,
        },
        Case {
            name: "a connection broke",
            causes: &[Cause::Break],
            is_unreached: false,
        },
        Case {
            name: "a connection broke, and then none could be opened",
            causes: &[Cause::Break, Cause::Connect, Cause::Silence],
            is_unreached: true,
        },
    ];
    for case in cases {
        let mut schedule = Schedule::default();
        for number in 1..=BURST as u16 {
            schedule.request(START, doubt(number, 1, Cause::Connect));
        }
        let target = doubt(0, 1, Cause::Connect).target;
        for cause in case.causes {
            let admission = schedule.request(START, doubt(0, 1, *cause));
            assert_eq!(admission, Admission::Waits, "{}", case.name);
        }
        let is_unreached = |schedule: &Schedule, now| schedule.is_unreached(now, &target);
        assert!(schedule.is_undecided(&target), "{}", case.name);
        assert_eq!(
            is_unreached(&schedule, START),
            case.is_unreached,
            "{}",
            case.name
        );
        let later = START + UNREACHED_TIME;
        assert!(!is_unreached(&schedule, later), "{}", case.name);
        let later = START + MAX_UNUSED_TIME;
        assert_eq!(schedule.start(later, |_| true), None, "places are taken");
        schedule.finish();
        assert_eq!(schedule.start(later, |_| true), None, "nobody needs it");
        assert_eq!(schedule.waiting(), 0, "{}", case.name);
    }
}

/// Guards against a request that goes on crashing targets while those without a request are surveyed.
#[test]
fn targets_that_may_have_been_crashed_are_surveyed_first() {
    let mut schedule = Schedule::default();
    for number in 0..40 {
        schedule.request(START, doubt(number, 1, Cause::Connect));
    }
    let crashed = doubt(40, 1, Cause::Break);
    schedule.request(START, crashed.clone());
    schedule.request(START, doubt(40, 1, Cause::Connect));
    schedule.finish();
    let next = schedule.start(START + START_INTERVAL, |_| true);
    assert_eq!(next.map(|doubt| doubt.target), Some(crashed.target));
}

/// Guards against a silent target that is never given up, since it waits for its survey again and
/// again.
#[test]
fn target_that_was_surveyed_is_not_undecided_again() {
    let mut schedule = Schedule::default();
    let first = doubt(0, 1, Cause::Silence);
    assert_eq!(schedule.request(START, first.clone()), Admission::Started);
    let later = START + REPEAT_INTERVAL;
    for number in 1..=BURST as u16 {
        schedule.request(later, doubt(number, 1, Cause::Connect));
    }
    let again = schedule.request(later, first.clone());
    assert_eq!(again, Admission::Waits);
    assert!(!schedule.is_undecided(&first.target));
    let other = doubt(99, 1, Cause::Silence);
    assert_eq!(schedule.request(later, other.clone()), Admission::Waits);
    assert!(schedule.is_undecided(&other.target));
}

/// Guards against surveys of targets that are known to have ended or to be lost meanwhile.
#[test]
fn surveys_that_are_settled_meanwhile_are_dropped() {
    let mut schedule = Schedule::default();
    let numbers: BTreeSet<u16> = (0..40).collect();
    for number in &numbers {
        schedule.request(START, doubt(*number, 1, Cause::Break));
    }
    schedule.finish();
    let later = START + START_INTERVAL;
    assert!(schedule.ready_at().is_some_and(|at| at <= later));
    assert_eq!(schedule.start(later, |_| false), None);
    assert_eq!(schedule.ready_at(), None);
}

/// Guards against probes whose number grows with the questions of other hosts, and against answers
/// that come after the hosts that asked have given up.
#[test]
fn questions_do_not_lift_the_probes_above_their_rate() {
    let mut turns = Turns::default();
    let mut allotted = Vec::new();
    for question in 0..4_000 {
        let now = START + Span::from_millis(question);
        let at = turns.allot(now);
        assert!(at.is_none_or(|at| at.since(now) <= MAX_PROBE_DELAY));
        allotted.extend(at);
    }
    let mut gaps = allotted.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.all(|gap| gap >= PROBE_INTERVAL));
    assert!(allotted.len() >= 400, "{} probes", allotted.len());
}
