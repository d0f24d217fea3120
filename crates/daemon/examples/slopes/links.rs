//! Memory and processor time of idle daemons that are linked to each other.

use std::{thread, time::Duration};

use crate::{
    fit::Slope,
    harness::{Builder, row},
    process::{cpu_seconds, resident_bytes},
};

/// Time for which the daemons idle before the measurement, and duration of the measurement.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Measures systems of 2, 6, 10 and 15 daemons in this process, which have 2 to 210 links.
pub fn measure() -> Vec<Slope> {
    let sizes = [2, 6, 10, 15];
    let measured: Vec<(f64, f64, f64)> = sizes.into_iter().map(measure_idle).collect();
    let points = |pick: fn(&(f64, f64, f64)) -> f64| {
        let points = measured.iter().map(|m| (m.0, pick(m)));
        points.collect::<Vec<_>>()
    };
    vec![
        Slope::new("idle daemons, % of a core in all", "link", points(|m| m.1)),
        Slope::new("daemons, resident bytes in all", "link", points(|m| m.2)),
    ]
}

/// Returns the number of links, the processor time in per cent of a core, and the memory in bytes.
fn measure_idle(daemons: usize) -> (f64, f64, f64) {
    let before = resident_bytes();
    let system = Builder::new()
        .daemons(daemons)
        .service("lookup", row(true), 6)
        .start();
    thread::sleep(IDLE_TIME);
    let start = cpu_seconds();
    thread::sleep(IDLE_TIME);
    let cpu_percent = (cpu_seconds() - start) / IDLE_TIME.as_secs_f64() * 100.0;
    let growth_bytes = resident_bytes() - before;
    drop(system);
    ((daemons * (daemons - 1)) as f64, cpu_percent, growth_bytes)
}
