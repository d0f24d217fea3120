//! Reports that compare policies by fault.

use std::fmt::Write;

use serde_json::{Value, json};

use super::Outcome;

/// Results of one fault with one policy.
pub struct Row<'a> {
    /// Name of the injected fault.
    pub fault: &'a str,
    /// Name of the simulated policy.
    pub policy: &'a str,
    /// Outcomes, one per seed.
    pub outcomes: &'a [Outcome],
}

impl Row<'_> {
    fn gaps(&self) -> Vec<f64> {
        let gaps = self.outcomes.iter().map(|o| o.gap.0 as f64 / 1e6);
        let mut gaps: Vec<f64> = gaps.collect();
        gaps.sort_by(f64::total_cmp);
        gaps
    }

    fn sum(&self, count: impl Fn(&Outcome) -> u64) -> u64 {
        self.outcomes.iter().map(count).sum()
    }

    fn figures(&self) -> [(&'static str, f64); 9] {
        let gaps = self.gaps();
        let median = gaps.get(gaps.len() / 2).copied().unwrap_or_default();
        let count = |count: fn(&Outcome) -> u64| self.sum(count) as f64;
        [
            ("median s", median),
            ("max s", gaps.last().copied().unwrap_or_default()),
            ("requests", count(|o| o.requests)),
            ("refused", count(|o| o.refused)),
            ("unknown", count(|o| o.unknown)),
            (
                "double owners",
                count(|o| o.tally.double_owners + o.tally.returned_runs),
            ),
            ("double runs", count(|o| o.tally.double_runs)),
            (
                "stale runs",
                count(|o| o.tally.stale_runs + o.tally.wrong_owner_runs),
            ),
            ("false refusals", count(|o| o.tally.false_refusals)),
        ]
    }
}

/// Renders rows as a Markdown table, with its head if `head` is true.
pub fn table(rows: &[Row<'_>], head: bool) -> String {
    let mut text = String::new();
    let names = rows.first().map(|row| row.figures().map(|(name, _)| name));
    let names = names.map(|names| names.join(" | ")).unwrap_or_default();
    if head {
        let _ = writeln!(text, "| Fault | Policy | Faults | {names} |");
        let _ = writeln!(text, "|---|---|{}", "--:|".repeat(10));
    }
    for row in rows {
        let cells = row.figures().map(|(name, value)| match name {
            "median s" | "max s" => format!("{value:.2}"),
            _ => format!("{value}"),
        });
        let (fault, policy, faults) = (row.fault, row.policy, row.outcomes.len());
        let cells = cells.join(" | ");
        let _ = writeln!(text, "| {fault} | {policy} | {faults} | {cells} |");
    }
    text
}

/// Renders rows as JSON.
pub fn json(rows: &[Row<'_>]) -> Value {
    let rows = rows.iter().map(|row| {
        let mut value = json!({
            "fault": row.fault, "policy": row.policy, "faults": row.outcomes.len(),
        });
        for (name, figure) in row.figures() {
            value[name.replace(' ', "_")] = json!(figure);
        }
        value
    });
    Value::Array(rows.collect())
}
