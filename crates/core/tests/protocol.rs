//! Model check of small configurations, with all rules, and without each rule in turn.

#[allow(dead_code, reason = "the example uses the rest")]
mod model;

use std::thread;

use model::{configuration::small, rule::Rule, scenario::scenario, search::run};

/// Guards against a change of the core that breaks an invariant within a few steps.
#[test]
fn all_rules_keep_the_invariants() {
    let runs = small().into_iter();
    let runs: Vec<_> = runs
        .map(|bounds| thread::spawn(move || run(bounds, None)))
        .collect();
    for run in runs {
        let report = run.join().expect("the run ends");
        assert!(report.violation.is_none(), "{report}");
    }
}

/// Guards against rules that no invariant depends on, against invariants that can't fail, and
/// against counterexamples with another cause than the missing rule.
#[test]
fn each_rule_has_a_counterexample() {
    let runs = Rule::ALL.iter().map(|rule| {
        thread::spawn(|| {
            let broken = run(scenario(*rule), Some(*rule));
            let mut bounds = scenario(*rule);
            bounds.depth = broken.depth;
            (broken, run(bounds, None))
        })
    });
    for run in runs.collect::<Vec<_>>() {
        let (broken, complete) = run.join().expect("the run ends");
        assert!(broken.violation.is_some(), "{broken}");
        assert!(complete.violation.is_none(), "{complete}");
    }
}
