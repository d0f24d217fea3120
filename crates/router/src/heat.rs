//! How busy the keys of a partitioned service are, from the requests that this host sees.
//!
//! Hosts send their counts to the host that leads.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use crate::assignment::{KEYS, Key};

/// Keys that are counted together. Among hundreds of targets, a few adjacent keys may be more than
/// one target bears.
const BUCKET: u32 = 1;
/// Time in which a count loses half of its weight.
const HALF_LIFE: Span = Span::from_millis(3_000);

/// Counts of requests by keys, of which older ones weigh less.
#[derive(Clone, Debug)]
pub struct Heat {
    buckets: Vec<f32>,
    decayed: Instant,
    /// Counts that were not shared yet.
    fresh: BTreeMap<u16, u32>,
}

/// A part of a range.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Heat of the keys.
    pub heat: f64,
}

impl Default for Heat {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; (KEYS / BUCKET) as usize],
            decayed: Instant::default(),
            fresh: BTreeMap::new(),
        }
    }
}

impl Heat {
    /// Notes a request.
    pub fn note(&mut self, now: Instant, key: Key) {
        let bucket = key / BUCKET as u16;
        *self.fresh.entry(bucket).or_default() += 1;
        self.add(now, bucket, 1);
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, now: Instant, counts: &BTreeMap<u16, u32>) {
        for (bucket, count) in counts {
            self.add(now, *bucket, *count);
        }
    }

    /// Returns the own counts that were not shared yet, by bucket.
    pub fn take_fresh(&mut self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut self.fresh)
    }

    /// Returns the heat of the keys from `first` to `last`.
    pub fn of(&self, first: Key, last: Key) -> f64 {
        let begin = u32::from(first) / BUCKET;
        let end = u32::from(last) / BUCKET;
        let inside = &self.buckets[begin as usize..=end as usize];
        inside.iter().map(|heat| f64::from(*heat)).sum()
    }

    /// Returns the parts at either end of a range that can move away, with their heat. Neither is
    /// the whole range.
    pub fn ends(&self, first: Key, last: Key) -> impl Iterator<Item = End> + '_ {
        let inside = self.of(first, last);
        let mut before = 0.0;
        let buckets = u32::from(first) / BUCKET..u32::from(last) / BUCKET;
        buckets.flat_map(move |bucket| {
            before += f64::from(self.buckets[bucket as usize]);
            let at = ((bucket + 1) * BUCKET - 1) as Key;
            let head = End {
                first,
                last: at,
                heat: before,
            };
            let tail = End {
                first: at + 1,
                last,
                heat: inside - before,
            };
            [head, tail]
        })
    }

    fn add(&mut self, now: Instant, bucket: u16, count: u32) {
        self.decay(now);
        if let Some(heat) = self.buckets.get_mut(usize::from(bucket)) {
            *heat += count as f32;
        }
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
