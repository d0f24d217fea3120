//! How busy the keys of a partitioned service are, from the requests that this host sees.
//!
//! The host that leads sees an even sample of all callers' keys, so its own counts suffice.

use ragwortrill_core::time::{Instant, Span};

use crate::assignment::{KEYS, Key};

/// Keys that are counted together. Busy keys are close to one another.
const BUCKET: u32 = 16;
/// Time in which a count loses half of its weight.
const HALF_LIFE: Span = Span::from_millis(1_500);

/// Counts of requests by keys, of which older ones weigh less.
#[derive(Clone, Debug)]
pub struct Heat {
    buckets: Vec<f32>,
    decayed: Instant,
}

impl Default for Heat {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; (KEYS / BUCKET) as usize],
            decayed: Instant::default(),
        }
    }
}

impl Heat {
    /// Notes a request.
    pub fn note(&mut self, now: Instant, key: Key) {
        self.decay(now);
        self.buckets[usize::from(key) / BUCKET as usize] += 1.0;
    }

    /// Returns the heat of the keys from `first` to `last`.
    pub fn of(&self, first: Key, last: Key) -> f64 {
        let begin = u32::from(first) / BUCKET;
        let end = u32::from(last) / BUCKET;
        let inside = &self.buckets[begin as usize..=end as usize];
        inside.iter().map(|heat| f64::from(*heat)).sum()
    }

    /// Returns the last key of the shortest prefix of a range that has at least `wanted` heat, or
    /// none if that is the whole range.
    pub fn prefix(&self, first: Key, last: Key, wanted: f64) -> Option<Key> {
        let mut sum = 0.0;
        let begin = u32::from(first) / BUCKET;
        for bucket in begin..=u32::from(last) / BUCKET {
            sum += f64::from(self.buckets[bucket as usize]);
            let end = ((bucket + 1) * BUCKET - 1) as Key;
            if sum >= wanted {
                return (end < last).then_some(end);
            }
        }
        None
    }

    fn decay(&mut self, now: Instant) {
        if now.since(self.decayed) < HALF_LIFE {
            return;
        }
        self.decayed = now;
        for heat in &mut self.buckets {
            *heat /= 2.0;
        }
    }
}
