//! Choice of a target for services that are not divided by key (power of two choices), and
//! hedging.

use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{latency::Histogram, retry::Budget, time::Span};

/// Minimum number of samples for the hedging delay. With fewer, the tail is too uncertain.
const MIN_HEDGE_SAMPLES: u32 = 50;
/// A second copy is sent once the first has taken longer than this per mille of requests do.
const HEDGE_QUANTILE_PER_MILLE: u32 = 950;

/// Latencies up to this percentage of the lowest one count as equal to it.
const EQUAL_LATENCY_PERCENT: u64 = 150;

/// A target that a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Requests that run or wait at the target.
    pub in_flight: u32,
    /// Requests that may run on the target at the moment.
    pub limit: u32,
    /// Median latency, or zero if it is not known.
    pub latency: Span,
    /// Cost factor from the target's load reports, in per cent.
    pub factor_percent: u64,
    /// False if the target must get no new requests.
    pub usable: bool,
}

/// Chooses the cheaper of two randomly sampled targets.
#[derive(Clone, Debug)]
pub struct Choice {
    random: Xoshiro256PlusPlus,
}

impl Candidate {
    fn has_room(&self) -> bool {
        self.usable && self.in_flight < self.limit
    }

    /// Returns the expected time to an answer, up to a constant factor, and the hint that breaks
    /// ties.
    ///
    /// Medians of few samples differ by chance, so latencies close to `min_latency` count as equal.
    fn cost(&self, min_latency: u64) -> (u64, u64) {
        let latency = match self.latency.0 * 100 <= min_latency * EQUAL_LATENCY_PERCENT {
            true => min_latency,
            false => self.latency.0,
        };
        let turns = u64::from(self.in_flight + 1) * 1_000 / u64::from(self.limit.max(1));
        (turns * latency.max(1), self.factor_percent)
    }
}

impl Choice {
    /// Creates a choice whose samples are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Returns the index of the cheaper of two sampled candidates, `excluded` left out.
    ///
    /// If neither sample has room but another candidate does, returns the cheapest one with room.
    pub fn pick(&mut self, candidates: &[Candidate], excluded: Option<usize>) -> Option<usize> {
        let first = self.sample(candidates, [excluded, None])?;
        let second = self
            .sample(candidates, [excluded, Some(first)])
            .unwrap_or(first);
        let latencies = candidates.iter().filter(|c| c.usable).map(|c| c.latency.0);
        let min_latency = latencies.min().unwrap_or_default();
        let cost = |index: &usize| candidates[*index].cost(min_latency);
        let with_room = |index: &usize| candidates[*index].has_room();
        let sampled = [first, second];
        sampled
            .into_iter()
            .filter(with_room)
            .min_by_key(cost)
            .or_else(|| {
                let others = (0..candidates.len()).filter(|index| Some(*index) != excluded);
                others.filter(with_room).min_by_key(cost)
            })
            .or_else(|| sampled.into_iter().min_by_key(cost))
    }

    fn sample(&mut self, candidates: &[Candidate], excluded: [Option<usize>; 2]) -> Option<usize> {
        let usable = |index: &usize| candidates[*index].usable && !excluded.contains(&Some(*index));
        let count = (0..candidates.len()).filter(usable).count();
        if count == 0 {
            return None;
        }
        let nth = self.random.random_range(0..count);
        (0..candidates.len()).filter(usable).nth(nth)
    }
}

/// Decides when an idempotent request is also sent to a second target. The answer that arrives
/// first is used, and the other copy is cancelled.
#[derive(Clone, Debug)]
pub struct Hedge {
    latency: Histogram,
    budget: Budget,
}

impl Hedge {
    /// Creates the hedging of one service, of whose requests at most `percent` get a second copy.
    pub fn new(percent: u32) -> Self {
        Self {
            latency: Histogram::default(),
            budget: Budget::new(percent, 20),
        }
    }

    /// Adds one request's share of a second copy to the budget.
    pub fn deposit(&mut self) {
        self.budget.deposit();
    }

    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Span) {
        self.latency.record(latency);
    }

    /// Returns the delay after which a request gets a second copy, or `None` with too few samples.
    pub fn delay(&self) -> Option<Span> {
        let enough = self.latency.count() >= MIN_HEDGE_SAMPLES;
        self.latency
            .quantile(HEDGE_QUANTILE_PER_MILLE)
            .filter(|_| enough)
    }

    /// Takes a second copy from the budget. Returns false if the budget is used up or the second
    /// target has no free slot.
    pub fn withdraw(&mut self, second: &Candidate) -> bool {
        second.has_room() && self.budget.withdraw()
    }
}
