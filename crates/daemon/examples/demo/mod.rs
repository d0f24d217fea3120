//! A run of the complete system under load, during which an operator makes changes.

mod caller;
mod environment;
mod fault;
mod plan;
mod replica;
mod summary;
mod tally;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow};
use ntex::rt::{DefaultRuntime, System};

use crate::harness;
use environment::Environment;
pub use fault::Fault;
pub use plan::{Plan, Progress};
pub use summary::Summary;
use tally::Tally;

/// Number of callers.
const CALLERS: usize = 6;

/// Interval between updates of the displayed progress.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a plan and evaluates the counts of the targets and the callers.
pub fn run(plan: &Plan, display: impl FnMut(Progress)) -> Result<Summary> {
    let (mut system, environment) = environment::start(plan)?;
    let environment = Arc::new(environment);
    System::new("warm-up", DefaultRuntime).block_on(caller::warm_up(environment.clone()));
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (plan, environment) = (plan.clone(), environment.clone());
            thread::spawn(move || caller::run(number, plan, environment, start))
        })
        .collect();
    operate(plan, &mut system, &environment, start, display);
    let tally = callers
        .into_iter()
        .try_fold(Tally::new(), |mut all, caller| {
            all.add(
                caller
                    .join()
                    .map_err(|_| anyhow!("a caller's thread panicked"))?,
            );
            Ok::<_, anyhow::Error>(all)
        })?;
    let counts: Vec<_> = system.targets.values().map(|t| t.counts()).collect();
    Ok(Summary::new(&tally, &counts))
}

/// Appends the operator's changes to the log when they are due, until the end of the run.
fn operate(
    plan: &Plan,
    system: &mut harness::System,
    environment: &Environment,
    start: Instant,
    mut display: impl FnMut(Progress),
) {
    let mut changes = plan.changes().into_iter().peekable();
    while start.elapsed() < plan.length {
        let elapsed = start.elapsed();
        let change = changes.next_if(|change| elapsed >= change.at);
        let text = change.as_ref().map(ToString::to_string);
        if let Some(change) = change {
            system.write(change.record);
        }
        display(Progress {
            change: text,
            elapsed,
            requests: environment.sent.load(Ordering::Relaxed),
        });
        thread::sleep(REFRESH_INTERVAL.min(plan.length / 10));
    }
}
