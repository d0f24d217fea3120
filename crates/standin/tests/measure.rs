//! Measurements: reproducible reports, and counts of violations that can exceed zero.

use ragwortrill_standin::measure::{
    deployment::Deployment,
    outcome::Outcome,
    policy::Policy,
    report::{self, Runs},
    run,
};

/// Returns the sample deployment with fewer targets and longer requests, so that runs are short.
fn deployment() -> Deployment {
    let text = include_str!("../examples/deployments/murrin.json");
    let mut deployment: Deployment = serde_json::from_str(text).expect("is a valid deployment");
    deployment.keys = 20_000;
    for service in &mut deployment.services {
        service.targets = service.targets.min(6);
        service.slices = service.slices.min(600);
        service.service = service.service.scale(3, 1);
        service.deadline = service.deadline.scale(3, 1);
    }
    deployment
}

fn outcomes(scenario: &str, policy: &str, seed: u64) -> Vec<Outcome> {
    let policy = Policy::named(policy).expect("is a policy");
    run(&deployment(), scenario, &policy, seed)
}

fn sum(outcomes: &[Outcome], cell: impl Fn(&Outcome) -> u64) -> u64 {
    outcomes.iter().map(cell).sum()
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn the_same_seed_gives_the_same_output() {
    let text = |seed| {
        let runs = [Runs {
            policy: "core".to_owned(),
            seeds: vec![outcomes("target-churn", "core", seed)],
        }];
        let json = report::json("target-churn", &runs);
        format!("{}{json}", report::table("target-churn", &runs))
    };
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
}

struct Case {
    name: &'static str,
    scenario: &'static str,
    broken: &'static str,
    cell: fn(&Outcome) -> u64,
}

/// Guards against a count of violations that is always zero: each is zero under the core and
/// above zero under a policy that breaks the rule on purpose.
#[test]
fn violation_counts_can_exceed_zero() {
    let cases = [
        Case {
            name: "limit breaches",
            scenario: "overload",
            broken: "broken-slots",
            cell: |o| o.slot_breaches,
        },
        Case {
            name: "double runs",
            scenario: "target-churn",
            broken: "broken-retries",
            cell: |o| o.double_runs,
        },
        Case {
            name: "cut answers",
            scenario: "rolling-restart",
            broken: "broken-restarts",
            cell: |o| o.interrupted,
        },
        Case {
            name: "work above the ramp",
            scenario: "cold-start",
            broken: "no-slow-start",
            cell: |o| o.ramp_breaches,
        },
        Case {
            name: "work after a data centre was taken out",
            scenario: "dc-out-and-back",
            broken: "broken-drains",
            cell: |o| o.sent_after_removal,
        },
        Case {
            name: "refusals of requests that ran",
            scenario: "target-churn",
            broken: "broken-refusals",
            cell: |o| o.false_refusals,
        },
    ];
    for case in cases {
        let core = outcomes(case.scenario, "core", 5);
        assert_eq!(sum(&core, case.cell), 0, "{}", case.name);
        let broken = outcomes(case.scenario, case.broken, 5);
        assert!(sum(&broken, case.cell) > 0, "{}", case.name);
    }
}

/// Guards against requests that no count includes: each is answered in time or late, refused, or
/// its outcome is unknown.
#[test]
fn every_request_has_one_outcome() {
    for scenario in ["target-churn", "poison", "overload", "cold-start"] {
        for policy in ["core", "hashing", "least-reported"] {
            for outcome in outcomes(scenario, policy, 2) {
                let ends = outcome.in_time + outcome.late + outcome.refusals() + outcome.unknown;
                assert_eq!(
                    ends, outcome.requests,
                    "{scenario} {policy} {}",
                    outcome.service
                );
            }
        }
    }
}

/// Guards against a request that crashes more than two targets despite quarantine, and against a
/// scenario in which it would crash no more without quarantine.
#[test]
fn a_poison_request_crashes_at_most_two_targets() {
    for seed in 1..4 {
        for outcome in outcomes("poison", "core", seed) {
            assert!(
                outcome.crashes <= 2,
                "{}: {}",
                outcome.service,
                outcome.crashes
            );
            assert_eq!(outcome.wrongly_quarantined, 0, "{}", outcome.service);
        }
        let without = outcomes("poison", "no-quarantine", seed);
        assert!(sum(&without, |o| o.crashes) > 6);
    }
}

/// Guards against goodput that collapses at twice the capacity.
#[test]
fn overload_keeps_goodput() {
    for outcome in outcomes("overload", "core", 1) {
        let goodput = outcome.overloaded_goodput_percent().expect("is overloaded");
        assert!(goodput >= 95.0, "{}: {goodput}", outcome.service);
    }
}
