//! How busy the keys of a partitioned service are, from the requests that this host sees.
//!
//! Hosts send their counts to the host that leads.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use crate::assignment::{KEY_COUNT, Key};

/// Keys that are counted together. Among hundreds of targets, a few adjacent keys may be more than
/// one target bears.
const KEYS_PER_BUCKET: u32 = 1;
/// Time in which a count loses half of its weight.
const HALF_LIFE: Span = Span::from_millis(3_000);

/// Counts of requests by keys, of which older ones weigh less.
#[derive(Clone, Debug)]
pub struct Traffic {
    buckets: Vec<f32>,
    decayed_at: Instant,
    /// Counts that were not shared yet.
    unsent: BTreeMap<u16, u32>,
}

/// A part of a range.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Heat of the keys.
    pub requests: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; (KEY_COUNT / KEYS_PER_BUCKET) as usize],
            decayed_at: Instant::default(),
            unsent: BTreeMap::new(),
        }
    }
}

impl Traffic {
    /// Notes a request.
    pub fn record(&mut self, now: Instant, key: Key) {
        let bucket = key / KEYS_PER_BUCKET as u16;
        *self.unsent.entry(bucket).or_default() += 1;
        self.add(now, bucket, 1);
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, now: Instant, counts: &BTreeMap<u16, u32>) {
        for (bucket, count) in counts {
            self.add(now, *bucket, *count);
        }
    }

    /// Returns the own counts that were not shared yet, by bucket.
    pub fn take_unsent(&mut self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the heat of the keys from `first` to `last`.
    pub fn requests(&self, first: Key, last: Key) -> f64 {
        let begin = u32::from(first) / KEYS_PER_BUCKET;
        let end = u32::from(last) / KEYS_PER_BUCKET;
        let inside = &self.buckets[begin as usize..=end as usize];
        inside.iter().map(|count| f64::from(*count)).sum()
    }

    /// Returns the parts at either end of a range that can move away, with their heat. Neither is
    /// the whole range.
    pub fn segments(&self, first: Key, last: Key) -> impl Iterator<Item = Segment> + '_ {
        let inside = self.requests(first, last);
        let mut before = 0.0;
        let buckets = u32::from(first) / KEYS_PER_BUCKET..u32::from(last) / KEYS_PER_BUCKET;
        buckets.flat_map(move |bucket| {
            before += f64::from(self.buckets[bucket as usize]);
            let at = ((bucket + 1) * KEYS_PER_BUCKET - 1) as Key;
            let head = Segment {
                first,
                last: at,
                requests: before,
            };
            let tail = Segment {
                first: at + 1,
                last,
                requests: inside - before,
            };
            [head, tail]
        })
    }

    fn add(&mut self, now: Instant, bucket: u16, count: u32) {
        self.decay(now);
        if let Some(total) = self.buckets.get_mut(usize::from(bucket)) {
            *total += count as f32;
        }
    }

    fn decay(&mut self, now: Instant) {
        if now.since(self.decayed_at) < HALF_LIFE {
            return;
        }
        self.decayed_at = now;
        for total in &mut self.buckets {
            *total /= 2.0;
        }
    }
}
