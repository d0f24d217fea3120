//! Effect of a fault on callers.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use super::LOOKUP_INTERVAL;
use crate::world::{Answer, Tally, World};

/// Minimum gap that counts. Shorter ones come from requests that take another path, which adds
/// some milliseconds.
const MIN_GAP: Span = Span::from_millis(50);

/// Effect of one fault on callers.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Longest time without an answer for any key.
    pub gap: Span,
    /// Number of keys with a gap.
    pub keys: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests whose caller cannot know whether they ran.
    pub unknown: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Violations during the run.
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

/// Returns the longest time between two answers, less the interval of requests.
fn longest_gap(mut times: Vec<Instant>, start: Instant, end: Instant) -> Span {
    times.push(end);
    times.sort_unstable();
    let mut last = start;
    let mut longest = Span::ZERO;
    for time in times {
        longest = longest.max(time.since(last));
        last = time;
    }
    let gap = Span(longest.0.saturating_sub(LOOKUP_INTERVAL.0));
    if gap < MIN_GAP { Span::ZERO } else { gap }
}
