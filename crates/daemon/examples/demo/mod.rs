//! A run of the whole system under load, with changes by an operator.

mod caller;
mod fault;
mod plan;
mod scene;
mod summary;
mod tally;
mod witness;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow};
use ntex::rt::{DefaultRuntime, System};

use crate::harness;
pub use fault::Fault;
pub use plan::{Plan, Progress};
use scene::Scene;
pub use summary::Summary;
use tally::Tally;

/// Number of callers.
const CALLERS: usize = 6;

/// Interval between drawings of the progress.
const FRAME: Duration = Duration::from_millis(100);

/// Runs a plan and judges what targets counted and callers received.
pub fn run(plan: &Plan, show: impl FnMut(Progress)) -> Result<Summary> {
    let (mut system, scene) = scene::start(plan)?;
    let scene = Arc::new(scene);
    System::new("warm-up", DefaultRuntime).block_on(caller::warm_up(scene.clone()));
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (plan, scene) = (plan.clone(), scene.clone());
            thread::spawn(move || caller::run(number, plan, scene, start))
        })
        .collect();
    operate(plan, &mut system, &scene, start, show);
    let tally = callers.into_iter().try_fold(Tally::new(), |mut all, one| {
        all.add(
            one.join()
                .map_err(|_| anyhow!("a caller's thread panicked"))?,
        );
        Ok::<_, anyhow::Error>(all)
    })?;
    let counts: Vec<_> = system.targets.values().map(|t| t.counts()).collect();
    Ok(Summary::new(&tally, &counts))
}

/// Writes the operator's changes when they are due, until the end of the run.
fn operate(
    plan: &Plan,
    system: &mut harness::System,
    scene: &Scene,
    start: Instant,
    mut show: impl FnMut(Progress),
) {
    let mut changes = plan.changes().into_iter().peekable();
    while start.elapsed() < plan.length {
        let elapsed = start.elapsed();
        let change = changes.next_if(|change| elapsed >= change.at);
        let text = change.as_ref().map(ToString::to_string);
        if let Some(change) = change {
            system.write(change.record);
        }
        show(Progress {
            change: text,
            elapsed,
            requests: scene.sent.load(Ordering::Relaxed),
        });
        thread::sleep(FRAME.min(plan.length / 10));
    }
}
