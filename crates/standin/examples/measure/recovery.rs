//! Scenario `recovery`: time without service after faults, under the core and baselines.

use std::thread;

use anyhow::Result;
use ragwortrill_standin::{
    recovery::{self, Fault, Outcome, POLICIES, Row},
    world::Policy,
};

use crate::{MAX_THREADS, arguments::Arguments};

/// Number of seeds of each fault, unless `--seeds` sets more than one.
const DEFAULT_SEEDS: u64 = 200;

/// Divisor of the number of seeds for the baselines, which only show the order of magnitude.
const BASELINE_SEEDS_DIVISOR: u64 = 10;

/// Simulates each fault under each policy and prints the results.
pub fn run(arguments: &Arguments) -> Result<()> {
    let seeds = if arguments.seeds > 1 {
        arguments.seeds
    } else {
        DEFAULT_SEEDS
    };
    let mut results = Vec::new();
    for fault in Fault::ALL {
        for (policy, kind) in POLICIES {
            let run_one = |seed| recovery::run(fault, kind, seed);
            let count = match kind {
                Policy::Core => seeds,
                _ => seeds.div_ceil(BASELINE_SEEDS_DIVISOR),
            };
            let outcomes = run_seeds(arguments.seed, count, &run_one);
            if !arguments.json {
                let fault = fault.name();
                let outcomes = &outcomes;
                let row = Row {
                    fault,
                    policy,
                    outcomes,
                };
                print!("{}", recovery::table(&[row], results.is_empty()));
            }
            results.push((fault.name(), policy, outcomes));
        }
    }
    if arguments.json {
        let rows: Vec<Row<'_>> = results
            .iter()
            .map(|(fault, policy, outcomes)| Row {
                fault,
                policy,
                outcomes,
            })
            .collect();
        println!("{}", recovery::json(&rows));
    }
    Ok(())
}

fn run_seeds(first: u64, count: u64, run_one: &(impl Fn(u64) -> Outcome + Sync)) -> Vec<Outcome> {
    let share = |thread: u64| (first + thread..first + count).step_by(MAX_THREADS);
    thread::scope(|scope| {
        let threads: Vec<_> = (0..MAX_THREADS as u64)
            .map(|thread| scope.spawn(move || share(thread).map(run_one).collect::<Vec<_>>()))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .flat_map(|outcomes| outcomes.expect("a run panicked"))
            .collect()
    })
}
