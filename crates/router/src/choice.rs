//! Choice of the target for a request of a service that is not partitioned by key.

use rand::{Rng, RngExt};

/// Targets that are compared for one request. Comparing all of them would send every host to the
/// same one until the next load report.
const MAX_SAMPLES: usize = 3;

/// A target that can take the request, and its cost.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<T> {
    /// The target.
    pub target: T,
    /// Estimated time until the answer; the unit is the caller's.
    pub cost: f64,
}

/// Returns the cheapest of a few candidates drawn at random.
pub fn choose<T: Copy>(candidates: &mut [Candidate<T>], random: &mut impl Rng) -> Option<T> {
    let samples = MAX_SAMPLES.min(candidates.len());
    for index in 0..samples {
        let other = random.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    let drawn = candidates[..samples].iter();
    let cheapest = drawn.min_by(|a, b| a.cost.total_cmp(&b.cost));
    cheapest.map(|candidate| candidate.target)
}
