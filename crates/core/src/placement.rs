//! Rendezvous hashing of processes and weighted distribution of slices.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name;

/// Ranks candidates for a subject by rendezvous hashing, best first.
///
/// Each candidate's rank depends only on its own text and the subject, so that a candidate that
/// comes or goes does not change the order of the others.
pub fn rank<T: Ord + ToString>(subject: &str, candidates: impl IntoIterator<Item = T>) -> Vec<T> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    let mut scored: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|c| (xxh3_64_with_seed(c.to_string().as_bytes(), seed), c))
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Distributes `count` slices over targets in proportion to their weights.
///
/// Uses smooth weighted round robin in integers, so that every daemon computes the same result.
/// Returns an empty list if the weights sum to zero.
pub fn distribute(count: u32, weights: &BTreeMap<name::Target, u32>) -> Vec<name::Target> {
    let total: i64 = weights.values().map(|w| i64::from(*w)).sum();
    if total == 0 {
        return Vec::new();
    }
    let mut credit: BTreeMap<&name::Target, i64> = weights.keys().map(|t| (t, 0)).collect();
    let mut owners = Vec::with_capacity(count as usize);
    for _ in 0..count {
        for (target, credit) in &mut credit {
            *credit += i64::from(weights[*target]);
        }
        let Some((chosen, most)) = credit.iter_mut().max_by_key(|(_, credit)| **credit) else {
            return Vec::new();
        };
        *most -= total;
        owners.push((*chosen).clone());
    }
    owners
}
