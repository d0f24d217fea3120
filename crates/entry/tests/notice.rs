//! Cost of what the leader tells other hosts besides the store's records.

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_entry::{notice::Notices, rate_limit::Relayed};
use ragwortrill_router::{crash::Verdicts, registration::Incarnation};

/// Suspects in a storm of crashes.
const SUSPECTS: u64 = 512;
/// Quarantined requests.
const QUARANTINED: u64 = 64;
/// Targets that state a rate limit.
const LIMITED: u64 = 400;

fn at(ms: u64) -> Instant {
    Instant(Span::from_millis(100_000 + ms).0)
}

/// Returns what a leader tells at a time, if each target stated its limit at `stated_at`.
fn notices(now: Instant, stated_at: Instant) -> Notices {
    let limit = |number: u64| Relayed {
        target: Incarnation {
            id: format!("t-{number}").parse().unwrap(),
            start_ms: number,
            address: "10.0.0.7:8001".parse().unwrap(),
        },
        per_second: Some("4.5".parse().unwrap()),
        age_us: now.since(stated_at).0,
    };
    Notices {
        verdicts: Verdicts {
            suspects: (0..SUSPECTS).map(Fingerprint).collect(),
            held: (0..SUSPECTS / 2).map(Fingerprint).collect(),
        },
        quarantined: (0..QUARANTINED).map(Fingerprint).collect(),
        rate_limits: (0..LIMITED).map(limit).collect(),
        leaving: (0..LIMITED).map(|number| limit(number).target).collect(),
    }
}

/// Number of entries by part: suspects, held suspects, quarantined requests, rate limits and targets
/// that leave.
type Sizes = [u64; 5];

fn sizes(notices: &Notices) -> Sizes {
    let verdicts = &notices.verdicts;
    [
        verdicts.suspects.len() as u64,
        verdicts.held.len() as u64,
        notices.quarantined.len() as u64,
        notices.rate_limits.len() as u64,
        notices.leaving.len() as u64,
    ]
}

struct Case {
    name: &'static str,
    /// Time since the host was last told.
    passed_ms: u64,
    change: fn(&mut Notices),
    /// Target of which the host's report states another limit.
    contradicted: Option<usize>,
    sent: Sizes,
}

/// Guards against answers that grow with all that the leader knows: it sent all suspects, quarantined
/// requests and rate limits to each host in each answer.
#[test]
fn only_what_a_host_lacks_is_sent() {
    let cases = [
        Case {
            name: "at rest",
            passed_ms: 550,
            change: |_| {},
            contradicted: None,
            sent: [0, 0, 0, 0, 0],
        },
        Case {
            name: "a new suspect",
            passed_ms: 550,
            change: |notices| {
                notices.verdicts.suspects.insert(Fingerprint(9_999));
            },
            contradicted: None,
            sent: [SUSPECTS + 1, SUSPECTS / 2, 0, 0, 0],
        },
        Case {
            name: "a suspect is held no more",
            passed_ms: 550,
            change: |notices| {
                notices.verdicts.held.pop_first();
            },
            contradicted: None,
            sent: [SUSPECTS, SUSPECTS / 2 - 1, 0, 0, 0],
        },
        Case {
            name: "a new quarantined request",
            passed_ms: 550,
            change: |notices| notices.quarantined.push(Fingerprint(9_999)),
            contradicted: None,
            sent: [0, 0, QUARANTINED + 1, 0, 0],
        },
        Case {
            name: "a rate limit changes",
            passed_ms: 550,
            change: |notices| notices.rate_limits[7].per_second = Some("2".parse().unwrap()),
            contradicted: None,
            sent: [0, 0, 0, LIMITED, 0],
        },
        Case {
            name: "a rate limit ends",
            passed_ms: 550,
            change: |notices| notices.rate_limits[7].per_second = None,
            contradicted: None,
            sent: [0, 0, 0, LIMITED, 0],
        },
        Case {
            name: "a target states its limit again, which has to be renewed",
            passed_ms: 3_000,
            change: |notices| notices.rate_limits[7].age_us = 0,
            contradicted: None,
            sent: [0, 0, 0, LIMITED, 0],
        },
        Case {
            name: "another target leaves",
            passed_ms: 550,
            change: |notices| {
                let mut target = notices.leaving[0].clone();
                target.start_ms = 9_999;
                notices.leaving.push(target);
            },
            contradicted: None,
            sent: [0, 0, 0, 0, LIMITED + 1],
        },
        Case {
            name: "the host has seen an end of a limit that other hosts have seen to go on",
            passed_ms: 550,
            change: |_| {},
            contradicted: Some(7),
            sent: [0, 0, 0, LIMITED, 0],
        },
    ];
    for case in cases {
        let told = notices(at(0), at(0));
        let known = told.digests(at(0));
        let now = at(case.passed_ms);
        let mut notices = notices(now, at(0));
        (case.change)(&mut notices);
        let stated = case.contradicted.map(|target| Relayed {
            per_second: None,
            ..notices.rate_limits[target].clone()
        });
        notices.omit(now, &known, stated.as_slice());
        assert_eq!(sizes(&notices), case.sent, "{}", case.name);
    }
}
