//! Choice of a target for a request to a service that is not partitioned by key.

use rand::{Rng, RngExt};

/// Maximum number of targets that are compared for one request. If all were compared, every host
/// would choose the same target until its next load report.
const MAX_SAMPLES: usize = 3;

/// A target that can accept the request, and its cost.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<T> {
    /// Value that identifies the target.
    pub target: T,
    /// Estimated response time, in a unit of the caller's choice.
    pub cost: f64,
}

/// Returns the cheapest of a few randomly sampled candidates. Reorders the slice.
pub fn choose<T: Copy>(candidates: &mut [Candidate<T>], random: &mut impl Rng) -> Option<T> {
    let samples = MAX_SAMPLES.min(candidates.len());
    for index in 0..samples {
        let other = random.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    let sampled = candidates[..samples].iter();
    let cheapest = sampled.min_by(|a, b| a.cost.total_cmp(&b.cost));
    cheapest.map(|candidate| candidate.target)
}
