//! Results of a run.

use std::fmt;

use hdrhistogram::Histogram;
use ragwortrill_standin::target::Counts;
use serde::Serialize;

use super::tally::Tally;

/// Results of a run. The fields are the keys of the line of JSON, in its order.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests that callers sent through daemons.
    pub requests: u64,
    /// Requests whose caller got the complete and matching answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Orders that ran more than once, at the same target or at several.
    pub doubled_runs: usize,
    /// Runs at a target while another target owned the key according to the log.
    pub wrong_owner: u64,
    /// Answers that were cut off or did not match their request.
    pub cut_answers: u64,
    /// Median latency of answered requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests.
    pub p99_ms: f64,
    /// Median latency of lookups minus that of lookups sent directly to a target.
    pub added_p50_ms: f64,
}

impl Summary {
    /// Evaluates the counts of the callers and the targets.
    pub fn new(tally: &Tally, counts: &[Counts]) -> Self {
        let runs = |order: &ragwortrill_core::request::Id| -> u32 {
            let order = order.to_string();
            counts.iter().filter_map(|c| c.runs.get(&order)).sum()
        };
        Self {
            requests: tally.requests,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
            doubled_runs: tally.orders.iter().filter(|order| runs(order) > 1).count(),
            wrong_owner: counts.iter().map(|counts| counts.wrong_owner_runs).sum(),
            cut_answers: tally.cut,
            p50_ms: millis(&tally.times, 0.5),
            p99_ms: millis(&tally.times, 0.99),
            added_p50_ms: millis(&tally.lookups, 0.5) - millis(&tally.direct, 0.5),
        }
    }

    /// Returns whether all guarantees held.
    pub fn is_good(&self) -> bool {
        self.doubled_runs == 0 && self.wrong_owner == 0 && self.cut_answers == 0
    }
}

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests               {:>9}", self.requests)?;
        writeln!(f, "  answered             {:>9}", self.answered)?;
        writeln!(f, "  refused, not run     {:>9}", self.refused)?;
        writeln!(f, "  unknown              {:>9}", self.unknown)?;
        writeln!(f, "orders that ran twice  {:>9}", self.doubled_runs)?;
        writeln!(f, "runs at a wrong target {:>9}", self.wrong_owner)?;
        writeln!(f, "answers cut            {:>9}", self.cut_answers)?;
        writeln!(f, "time p50               {:>9.2} ms", self.p50_ms)?;
        writeln!(f, "time p99               {:>9.2} ms", self.p99_ms)?;
        writeln!(f, "time added p50         {:>9.2} ms", self.added_p50_ms)
    }
}
