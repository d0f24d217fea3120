//! Request counts by key of a partitioned service.
//!
//! Each host counts the requests that it receives and sends its counts to the leader.

use std::collections::BTreeMap;

use ragwortrill_core::time::{Instant, Span};

use crate::assignment::{KEY_COUNT, Key};

/// Number of keys that share a count. With hundreds of targets, a few adjacent busy keys may exceed
/// the capacity of one target, so each key is counted separately.
const KEYS_PER_BUCKET: u32 = 1;
/// Interval at which the counts are halved.
const HALF_LIFE: Span = Span::from_millis(3_000);

/// Request counts by key with exponential decay.
#[derive(Clone, Debug)]
pub struct Traffic {
    buckets: Vec<f32>,
    decayed_at: Instant,
    /// Counts of this host, and of those that report to it, that were not sent to the leader yet.
    unsent: BTreeMap<u16, u32>,
}

/// A part of a range of keys, with its request count.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// First key of the segment.
    pub first: Key,
    /// Last key of the segment, included.
    pub last: Key,
    /// Decayed request count of the keys.
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
    /// Counts a request for a key that this host received.
    pub fn record(&mut self, now: Instant, key: Key) {
        let bucket = key / KEYS_PER_BUCKET as u16;
        *self.unsent.entry(bucket).or_default() += 1;
        self.add(now, bucket, 1);
    }

    /// Adds the counts of another host, by bucket.
    pub fn merge(&mut self, now: Instant, counts: &BTreeMap<u16, u32>) {
        for (bucket, count) in counts {
            self.add(now, *bucket, *count);
        }
    }

    /// Adds the counts of a host that reports to this one, which relays them to the leader.
    pub fn relay(&mut self, now: Instant, counts: &BTreeMap<u16, u32>) {
        self.merge(now, counts);
        for (bucket, count) in counts {
            let unsent = self.unsent.entry(*bucket).or_default();
            *unsent = unsent.saturating_add(*count);
        }
    }

    /// Takes the counts that were not sent to the leader yet, by bucket.
    pub fn take_unsent(&mut self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the decayed request count of the keys from `first` to `last`, included.
    pub fn requests(&self, first: Key, last: Key) -> f64 {
        let begin = u32::from(first) / KEYS_PER_BUCKET;
        let end = u32::from(last) / KEYS_PER_BUCKET;
        let inside = &self.buckets[begin as usize..=end as usize];
        inside.iter().map(|count| f64::from(*count)).sum()
    }

    /// Returns each part at either end of a range that can move to another owner, but not the whole
    /// range.
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
