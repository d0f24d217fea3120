//! Keys with the highest weight in bounded memory, by the Space-Saving algorithm.

use std::collections::{BTreeMap, BTreeSet};

use crate::key::Digest;

/// Counter of one key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Upper bound of the key's weight.
    pub upper_bound: u64,
    /// Maximum error of the upper bound: the count that the key took over from an evicted one.
    pub error: u64,
}

/// Approximate weights of the heaviest keys.
#[derive(Clone, Debug)]
pub struct Sketch {
    capacity: usize,
    counts: BTreeMap<Digest, Count>,
    order: BTreeSet<(u64, Digest)>,
    total: u64,
}

impl Count {
    /// Returns the lower bound of the key's weight.
    pub fn lower_bound(&self) -> u64 {
        self.upper_bound - self.error
    }
}

impl Sketch {
    /// Creates a sketch that counts at most `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            counts: BTreeMap::new(),
            order: BTreeSet::new(),
            total: 0,
        }
    }

    /// Adds weight to a key. A new key evicts the lightest one if the sketch is full.
    pub fn add(&mut self, key: Digest, weight: u64) {
        self.total += weight;
        let mut count = match self.counts.get(&key) {
            Some(count) => *count,
            None => self.evict_lightest(),
        };
        self.order.remove(&(count.upper_bound, key));
        count.upper_bound += weight;
        self.order.insert((count.upper_bound, key));
        self.counts.insert(key, count);
    }

    /// Halves all weights, so that keys whose load has fallen can be evicted.
    pub fn halve(&mut self) {
        self.total /= 2;
        for count in self.counts.values_mut() {
            count.upper_bound /= 2;
            count.error /= 2;
        }
        self.counts.retain(|_, count| count.upper_bound > 0);
        let pair = |(key, count): (&Digest, &Count)| (count.upper_bound, *key);
        self.order = self.counts.iter().map(pair).collect();
    }

    /// Returns the keys whose lower bound is at least `per_mille` of the total weight.
    pub fn heavy(&self, per_mille: u64) -> BTreeMap<Digest, Count> {
        let min_weight = (self.total * per_mille).div_ceil(1_000).max(1);
        let heavy = self
            .counts
            .iter()
            .filter(|(_, c)| c.lower_bound() >= min_weight);
        heavy.map(|(key, count)| (*key, *count)).collect()
    }

    /// Returns the total weight that was added, after halvings.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of counted keys.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no key is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn evict_lightest(&mut self) -> Count {
        if self.counts.len() < self.capacity {
            return Count::default();
        }
        let Some((upper_bound, lightest)) = self.order.pop_first() else {
            return Count::default();
        };
        self.counts.remove(&lightest);
        Count {
            upper_bound,
            error: upper_bound,
        }
    }
}
