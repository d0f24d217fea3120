//! What a run showed.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use super::INTERVAL;
use crate::world::{Answer, Tally, World};

/// Shortest gap that counts: a call takes some milliseconds longer on another path.
const NOISE: Span = Span::from_millis(50);

/// What callers saw of one fault.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Longest time without an answer for a key, of all keys.
    pub gap: Span,
    /// Number of keys with such a time.
    pub keys: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests of which the caller does not know whether they ran.
    pub unknown: u64,
    /// Requests of callers.
    pub requests: u64,
    /// What must not happen.
    pub tally: Tally,
}

impl Outcome {
    pub(super) fn new(world: &World, start: Instant, end: Instant) -> Self {
        let calls = world.calls();
        let mut answers: BTreeMap<_, Vec<Instant>> = BTreeMap::new();
        for call in calls.iter().filter(|call| call.idempotent) {
            let answered = answers.entry(call.key).or_default();
            if let Some((at, Answer::Status(_))) = call.answer {
                answered.push(at);
            }
        }
        let gaps: Vec<Span> = answers
            .into_values()
            .map(|times| longest_gap(times, start, end))
            .collect();
        let refused = |call: &&crate::world::Call| {
            matches!(call.answer, Some((_, Answer::Refused(_)))) && !call.is_unknown()
        };
        Self {
            gap: gaps.iter().copied().max().unwrap_or_default(),
            keys: gaps.iter().filter(|gap| **gap > Span::ZERO).count() as u64,
            refused: calls.iter().filter(refused).count() as u64,
            unknown: calls.iter().filter(|call| call.is_unknown()).count() as u64,
            requests: calls.len() as u64,
            tally: world.tally,
        }
    }
}

/// Returns the longest time between two answers, less the interval between calls.
fn longest_gap(mut times: Vec<Instant>, start: Instant, end: Instant) -> Span {
    times.push(end);
    times.sort_unstable();
    let mut last = start;
    let mut longest = Span::ZERO;
    for time in times {
        longest = longest.max(time.since(last));
        last = time;
    }
    let gap = Span(longest.0.saturating_sub(INTERVAL.0));
    if gap < NOISE { Span::ZERO } else { gap }
}
