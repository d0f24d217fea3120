//! Reports of outcomes by service and policy, with ratios to the core and their range over seeds.

use std::{collections::BTreeMap, fmt::Write};

use super::outcome::Outcome;

/// Function that computes a cell from an outcome.
type Cell = fn(&Outcome) -> f64;

/// Cells in the order of the columns. `goodput%` is relative to the requests or, if less, to the
/// capacity; `overload%` is relative to the capacity while requests exceed one and a half of it.
pub const CELLS: [(&str, Cell); 20] = [
    ("p50ms", |o| o.quantile_ms(0.5)),
    ("p99ms", |o| o.quantile_ms(0.99)),
    ("p99.9ms", |o| o.quantile_ms(0.999)),
    ("goodput%", Outcome::goodput_percent),
    ("overload%", |o| {
        o.overloaded_goodput_percent().unwrap_or(f64::NAN)
    }),
    ("refused", |o| o.refusals() as f64),
    ("late", |o| o.late as f64),
    ("unknown", |o| o.unknown as f64),
    ("imbalance", Outcome::imbalance),
    ("moves", |o| o.moves as f64),
    ("forced", |o| o.forced_moves as f64),
    ("key-s", |o| o.unavailable_key_seconds),
    ("crashed", |o| o.crashes as f64),
    ("shed", |o| o.shed as f64),
    ("breaches", |o| o.slot_breaches as f64),
    ("over-ramp", |o| o.ramp_breaches as f64),
    ("double", |o| o.double_runs as f64),
    ("cut", |o| o.interrupted as f64),
    ("after-out", |o| o.sent_after_removal as f64),
    ("untrue", |o| {
        (o.false_refusals + o.wrongly_quarantined) as f64
    }),
];

/// Cells whose ratio to the first policy is reported.
const RATIOS: [&str; 4] = ["p99ms", "p99.9ms", "refused", "moves"];

/// Outcomes of one policy.
#[derive(Clone, Debug)]
pub struct Runs {
    /// Name of the simulated policy.
    pub policy: String,
    /// Outcomes of all services, by seed.
    pub seeds: Vec<Vec<Outcome>>,
}

impl Runs {
    fn services(&self) -> Vec<String> {
        let first = self.seeds.first();
        first.map_or_else(Vec::new, |s| s.iter().map(|o| o.service.clone()).collect())
    }

    fn values(&self, service: usize, cell: Cell) -> Vec<f64> {
        self.seeds
            .iter()
            .map(|outcomes| cell(&outcomes[service]))
            .collect()
    }
}

/// Renders a table of the means over all seeds. With several policies, adds their ratios to the
/// first one: the mean, the lowest and the highest over the seeds.
pub fn table(scenario: &str, runs: &[Runs]) -> String {
    let mut text = String::new();
    let Some(first) = runs.first() else {
        return text;
    };
    for (service, name) in first.services().iter().enumerate() {
        let _ = writeln!(
            text,
            "{scenario}: {name}, {} seeds, means",
            first.seeds.len()
        );
        let _ = write!(text, "{:16}", "policy");
        for (cell, _) in CELLS {
            let _ = write!(text, " {cell:>9}");
        }
        let _ = writeln!(text);
        for run in runs {
            let _ = write!(text, "{:16}", run.policy);
            for (_, cell) in CELLS {
                let _ = write!(text, " {:>9}", number(mean(&run.values(service, cell))));
            }
            let _ = writeln!(text);
        }
        if runs.len() > 1 {
            ratios(&mut text, service, first, &runs[1..]);
        }
    }
    text
}

fn ratios(text: &mut String, service: usize, first: &Runs, others: &[Runs]) {
    let _ = writeln!(text, "ratio to {}: mean [least, highest]", first.policy);
    for run in others {
        let _ = write!(text, "{:16}", run.policy);
        for (name, cell) in CELLS.iter().filter(|(name, _)| RATIOS.contains(name)) {
            let pairs = run.values(service, *cell).into_iter();
            let ratios: Vec<f64> = pairs
                .zip(first.values(service, *cell))
                .map(|(own, core)| if own == core { 1.0 } else { own / core })
                .collect();
            let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let highest = ratios.iter().copied().fold(0.0, f64::max);
            let cell = format!("{:.2} [{least:.2}, {highest:.2}]", mean(&ratios));
            let _ = write!(text, "  {name} {cell:22}");
        }
        let _ = writeln!(text);
    }
}

/// Returns the cells of all runs as JSON, by policy, service and cell, one number per seed.
pub fn json(scenario: &str, runs: &[Runs]) -> serde_json::Value {
    let mut policies = BTreeMap::new();
    for run in runs {
        let services = run.services().into_iter().enumerate();
        let services: BTreeMap<String, BTreeMap<&str, Vec<f64>>> = services
            .map(|(index, name)| {
                let cells = CELLS.map(|(cell, value)| (cell, run.values(index, value)));
                (name, cells.into_iter().collect())
            })
            .collect();
        policies.insert(run.policy.clone(), services);
    }
    serde_json::json!({ "scenario": scenario, "policies": policies })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn number(value: f64) -> String {
    if value.is_nan() {
        "-".to_owned()
    } else if value.fract() == 0.0 {
        format!("{value:.0}")
    } else if value >= 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.2}")
    }
}
