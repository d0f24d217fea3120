//! Quarantine: a request crashes at most two targets, and no harmless one is quarantined.

use ragwortrill_core::{
    quarantine::{Quarantine, Status},
    request::Fingerprint,
    time::Instant,
};

const POISON: Fingerprint = Fingerprint(99);

fn at(secs: u64) -> Instant {
    Instant(secs * 1_000_000)
}

fn fingerprints(numbers: &[u64]) -> Vec<Fingerprint> {
    numbers.iter().copied().map(Fingerprint).collect()
}

struct Case {
    name: &'static str,
    crashes: Vec<Vec<u64>>,
    answered: Vec<u64>,
    quarantined: Vec<u64>,
}

/// Guards against a third crash by the same request, or a fourth if others were in flight at each of
/// them, and against the quarantine of harmless requests that were in flight at the crashes.
#[test]
fn quarantines_only_a_request_that_was_alone_or_the_only_one_in_both_crashes() {
    let cases = [
        Case {
            name: "one crash with others in flight",
            crashes: vec![vec![1, 2, 99]],
            answered: vec![],
            quarantined: vec![],
        },
        Case {
            name: "one crash alone",
            crashes: vec![vec![99]],
            answered: vec![],
            quarantined: vec![],
        },
        Case {
            name: "one crash with others in flight, then one alone",
            crashes: vec![vec![1, 2, 3, 4, 5, 99], vec![99]],
            answered: vec![],
            quarantined: vec![99],
        },
        Case {
            name: "copies ran on two targets before either crashed",
            crashes: vec![vec![1, 2, 99], vec![4, 5, 99]],
            answered: vec![],
            quarantined: vec![99],
        },
        Case {
            name: "two requests in both crashes, one of them answered in between",
            crashes: vec![vec![1, 7, 99], vec![4, 7, 99]],
            answered: vec![7],
            quarantined: vec![99],
        },
        Case {
            name: "two requests in both crashes, neither of them answered",
            crashes: vec![vec![1, 7, 99], vec![4, 7, 99]],
            answered: vec![],
            quarantined: vec![],
        },
        Case {
            name: "only two requests in both crashes, neither of them answered",
            crashes: vec![vec![7, 99], vec![7, 99]],
            answered: vec![],
            quarantined: vec![],
        },
        Case {
            name: "only two requests in both crashes, one of them answered in between",
            crashes: vec![vec![7, 99], vec![7, 99]],
            answered: vec![7],
            quarantined: vec![99],
        },
        Case {
            name: "only two requests in both crashes, then one alone",
            crashes: vec![vec![7, 99], vec![7, 99], vec![99]],
            answered: vec![],
            quarantined: vec![99],
        },
        Case {
            name: "only two requests in three crashes, neither of them answered",
            crashes: vec![vec![7, 99], vec![7, 99], vec![7, 99]],
            answered: vec![],
            quarantined: vec![7, 99],
        },
        Case {
            name: "two requests among others in three crashes, neither of them answered",
            crashes: vec![vec![1, 7, 99], vec![4, 7, 99], vec![5, 7, 99]],
            answered: vec![],
            quarantined: vec![7, 99],
        },
    ];
    for case in cases {
        let mut quarantine = Quarantine::default();
        let mut quarantined = Vec::new();
        for (second, crash) in case.crashes.iter().enumerate() {
            quarantined.extend(quarantine.record_crash(at(second as u64), &fingerprints(crash)));
            for answered in &case.answered {
                quarantine.clear_suspect(Fingerprint(*answered));
            }
        }
        assert_eq!(
            quarantined,
            fingerprints(&case.quarantined),
            "{}",
            case.name
        );
        let status = quarantine.status(POISON);
        let expected = match case.quarantined.is_empty() {
            true => Status::Suspect,
            false => Status::Quarantined,
        };
        assert_eq!(status, expected, "{}", case.name);
    }
}

/// Guards against a quarantine that outlasts ten minutes or its release by an operator.
#[test]
fn releases_after_ten_minutes_or_by_an_operator() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(at(0), &[POISON]);
    quarantine.record_crash(at(1), &[POISON]);
    assert_eq!(quarantine.expire(at(600)), []);
    assert_eq!(quarantine.status(POISON), Status::Quarantined);
    assert_eq!(quarantine.expire(at(601)), [POISON]);
    assert_eq!(quarantine.status(POISON), Status::Clear);
    quarantine.add(at(700), POISON);
    quarantine.release(POISON);
    assert_eq!(quarantine.status(POISON), Status::Clear);
}

/// Guards against unbounded memory for suspects.
#[test]
fn suspects_are_bounded() {
    let mut quarantine = Quarantine::default();
    for second in 0..3_000 {
        quarantine.record_crash(at(second), &fingerprints(&[second]));
    }
    assert_eq!(quarantine.suspects().len(), 1_024);
    assert_eq!(quarantine.status(Fingerprint(2_999)), Status::Suspect);
}

/// Guards against a crashing request that is forgotten because many others were in flight at the
/// crashes of other targets.
#[test]
fn suspect_with_two_crashes_outlasts_many_with_one() {
    let mut quarantine = Quarantine::default();
    let with_others = fingerprints(&[98, 99]);
    assert!(quarantine.record_crash(at(0), &with_others).is_empty());
    assert!(quarantine.record_crash(at(1), &with_others).is_empty());
    for crash in 0..30 {
        let in_flight: Vec<u64> = (1_000 + crash * 100..1_100 + crash * 100).collect();
        quarantine.record_crash(at(2 + crash), &fingerprints(&in_flight));
    }
    assert_eq!(quarantine.record_crash(at(40), &with_others), with_others);
}
