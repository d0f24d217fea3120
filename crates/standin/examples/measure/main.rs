//! Measures policies in virtual time:
//! `measure SCENARIO --seed N [--seeds K] [--policy P] [--deployment D] [--json] [--compare]
//! [--forecast] [--plot FILE.svg]`.

mod arguments;
mod plot;
mod recovery;

use std::thread;

use anyhow::{Context, Result};
use ragwortrill_standin::measure::{
    self, deployment::Deployment, outcome::Outcome, policy::Policy, report, scenario::Scenario,
};

use arguments::Arguments;

/// Number of seeds that run in parallel: below the number of cores, because the machine is shared.
const MAX_THREADS: usize = 4;

/// Name and function of a scenario that [`measure::run`] does not run.
type Special = (&'static str, fn(&Arguments) -> Result<()>);

/// Scenarios that have their own function.
const SPECIAL_SCENARIOS: [Special; 1] = [("recovery", recovery::run)];

fn main() -> Result<()> {
    let arguments = Arguments::parse()?;
    if let Some((_, run)) = SPECIAL_SCENARIOS
        .iter()
        .find(|(name, _)| *name == arguments.scenario)
    {
        return run(&arguments);
    }
    let scenarios: Vec<&str> = match arguments.scenario.as_str() {
        "all" => Scenario::NAMES.to_vec(),
        name => vec![name],
    };
    for scenario in scenarios {
        measure(scenario, &arguments)?;
    }
    Ok(())
}

fn measure(scenario: &str, arguments: &Arguments) -> Result<()> {
    let runs: Vec<report::Runs> = arguments
        .policies
        .iter()
        .map(|policy| report::Runs {
            policy: policy.name.to_owned(),
            seeds: run_seeds(&arguments.deployment, scenario, policy, arguments),
        })
        .collect();
    match arguments.json {
        true => println!("{}", report::json(scenario, &runs)),
        false => println!("{}", report::table(scenario, &runs)),
    }
    if let Some(file) = &arguments.plot {
        plot::draw(file, scenario, &runs).with_context(|| format!("can't draw {file}"))?;
    }
    Ok(())
}

fn run_seeds(
    deployment: &Deployment,
    scenario: &str,
    policy: &Policy,
    arguments: &Arguments,
) -> Vec<Vec<Outcome>> {
    let seeds: Vec<u64> = (arguments.seed..arguments.seed + arguments.seeds).collect();
    let run = |seed: u64| measure::run(deployment, scenario, policy, seed);
    let mut outcomes = Vec::new();
    for batch in seeds.chunks(MAX_THREADS) {
        outcomes.extend(thread::scope(|scope| {
            let threads: Vec<_> = batch
                .iter()
                .map(|seed| scope.spawn(move || run(*seed)))
                .collect();
            let joined = threads.into_iter().map(|thread| thread.join());
            joined
                .map(|outcome| outcome.expect("a run panicked"))
                .collect::<Vec<_>>()
        }));
    }
    outcomes
}
