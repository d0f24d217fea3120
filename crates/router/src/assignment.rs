//! Assignment of a service's keys to targets.

use std::{cmp::Reverse, collections::BTreeSet};

use serde::{Deserialize, Serialize};

use crate::registration::Incarnation;

/// A key of a partitioned service.
pub type Key = u16;

/// Largest epoch of a range; later ones must not overflow.
pub const MAX_EPOCH: u64 = u64::MAX >> 1;

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 65_536;

/// A contiguous range of keys with one owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Range {
    /// First key of the range.
    pub first: Key,
    /// Last key of the range, included.
    pub last: Key,
    /// Epoch of the owner's grant, which is its fencing token. It is unique among all ranges.
    pub epoch: u64,
    /// Target that owns the keys, or will own them when the move is complete.
    pub owner: Incarnation,
    /// Whether the owner holds the keys or still waits for them.
    pub state: State,
}

/// Whether a range's owner holds the keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// The owner holds the keys.
    Held,
    /// The owner is granted the keys once none of these previous owners can hold them any more.
    Moving(Vec<PreviousOwner>),
}

/// A previous owner of a range.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousOwner {
    /// Target that owned the keys.
    #[serde(rename = "life")]
    pub target: Incarnation,
    /// Epoch of its release, above that of its last grant: the target refuses a grant that arrives
    /// after the release.
    pub fence: u64,
}

/// Ranges of one service, sorted and without overlap. Each is a separate record in the log, whose
/// key contains the first key of the range; a change never removes a first key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Epoch that is allocated next, above all that were allocated.
    pub next_epoch: u64,
    /// Ranges, sorted by key.
    pub ranges: Vec<Range>,
}

impl Range {
    /// Returns the number of keys in the range.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Tells whether the owner holds the keys.
    pub fn is_held(&self) -> bool {
        self.state == State::Held
    }
}

impl Assignment {
    /// Returns the range that contains a key.
    pub fn range(&self, key: Key) -> Option<&Range> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        (key <= range.last).then_some(range)
    }

    /// Allocates an epoch that was never used.
    pub fn allocate_epoch(&mut self) -> u64 {
        self.next_epoch = self.next_epoch.max(1);
        self.next_epoch += 1;
        self.next_epoch - 1
    }

    /// Inserts a range from the log, or replaces the one with the same first key.
    pub fn upsert(&mut self, range: Range) {
        self.next_epoch = self.next_epoch.max(range.epoch + 1);
        let index = self
            .ranges
            .partition_point(|known| known.first < range.first);
        match self.ranges.get_mut(index) {
            Some(known) if known.first == range.first => *known = range,
            _ => self.ranges.insert(index, range),
        }
    }

    /// Merges ranges of several sources: of those that have a key, the one with the highest epoch is
    /// the latest. Under one epoch a move completes, and a range gets shorter.
    ///
    /// If a later range lies within an earlier one, the end of the earlier one has the epoch of
    /// its beginning, until [`Self::recover`] gives it one of its own.
    pub fn merge(mut ranges: Vec<Range>) -> Self {
        ranges.sort_by_key(|range| (range.epoch, range.is_held(), Reverse(range.last)));
        let mut merged = Self::default();
        for range in ranges {
            merged.overlay(range);
        }
        merged
    }

    /// Separates ranges that have keys in common, which an earlier release may have left in the log, and
    /// returns whether there were any. Epochs are allocated from at least `min_epoch` on.
    ///
    /// Common keys go to the owner with the highest epoch, by a new one, once none of their owners can
    /// hold them any more. Of the other parts of a range, the first keeps its epoch. The owner of the
    /// others gets them again by new epochs.
    pub fn separate(&mut self, min_epoch: u64) -> bool {
        if !self.has_overlap() {
            return false;
        }
        self.raise_epochs(min_epoch);
        let parts = parts(&self.ranges);
        let mut used = BTreeSet::new();
        self.ranges = Vec::new();
        for (first, last, owners) in parts {
            let sole = owners.first().filter(|_| owners.len() == 1);
            let range = match sole.filter(|range| used.insert(range.epoch)) {
                Some(range) => Range {
                    first,
                    last,
                    ..range.clone()
                },
                None => self.regrant(first, last, &owners),
            };
            self.ranges.push(range);
        }
        true
    }

    /// Tells whether ranges have keys in common.
    fn has_overlap(&self) -> bool {
        let neighbours = self.ranges.windows(2);
        neighbours
            .into_iter()
            .any(|pair| pair[0].last >= pair[1].first)
    }

    /// Returns a range for keys that one or several ranges have, in the order of their epochs: the last
    /// one's owner is granted them once none of the owners can hold them any more.
    fn regrant(&mut self, first: Key, last: Key, ranges: &[Range]) -> Range {
        let first_new = self.next_epoch;
        let mut previous: Vec<PreviousOwner> = Vec::new();
        for range in ranges {
            if let State::Moving(earlier) = &range.state {
                previous.extend(earlier.iter().cloned());
            }
        }
        for range in ranges {
            let target = range.owner.clone();
            let fence = self.allocate_epoch();
            previous.retain(|earlier| earlier.target != target);
            previous.push(PreviousOwner { target, fence });
        }
        // Their releases must end grants of moves that nobody remembers, too.
        let earlier = previous.iter_mut().filter(|owner| owner.fence < first_new);
        earlier.for_each(|owner| owner.fence = self.allocate_epoch());
        Range {
            first,
            last,
            epoch: self.allocate_epoch(),
            owner: previous[previous.len() - 1].target.clone(),
            state: State::Moving(previous),
        }
    }

    /// Replaces the keys of a range, and keeps the other keys of the ranges that it overlaps.
    fn overlay(&mut self, range: Range) {
        self.next_epoch = self.next_epoch.max(range.epoch + 1);
        let mut kept = Vec::new();
        for known in self.ranges.drain(..) {
            if known.last < range.first || known.first > range.last {
                kept.push(known);
                continue;
            }
            if known.first < range.first {
                let mut head = known.clone();
                head.last = range.first - 1;
                kept.push(head);
            }
            if known.last > range.last {
                let mut tail = known;
                tail.first = range.last + 1;
                kept.push(tail);
            }
        }
        kept.push(range);
        kept.sort_by_key(|range| range.first);
        self.ranges = kept;
    }

    /// Prepares merged ranges for a leader that may not know the latest ones. Epochs are allocated from
    /// at least `min_epoch` on.
    ///
    /// A held range is renewed by its epoch, which its owner refuses if it has released the keys since.
    /// Keys of a moving range, and of all but the first of the ranges that share an epoch, may have
    /// moved on by an epoch that nobody remembers. Their owner releases them and gets a new epoch.
    pub fn recover(&mut self, min_epoch: u64) {
        self.raise_epochs(min_epoch);
        let mut used = BTreeSet::new();
        for range in std::mem::take(&mut self.ranges) {
            let is_kept = range.is_held() && used.insert(range.epoch);
            let recovered = match is_kept {
                true => range,
                false => self.regrant(range.first, range.last, &[range]),
            };
            self.ranges.push(recovered);
        }
    }

    /// Makes the epochs that are allocated next be at least `min_epoch`.
    pub fn raise_epochs(&mut self, min_epoch: u64) {
        self.next_epoch = self.next_epoch.max(min_epoch);
    }

    /// Tells whether a range from the log is older than the known one with the same first key.
    pub fn is_outdated(&self, range: &Range) -> bool {
        let Some(known) = self.range(range.first) else {
            return false;
        };
        if range.epoch != known.epoch || range.first != known.first {
            return range.epoch < known.epoch;
        }
        // Under one epoch a move completes, and a range gets shorter when others take keys of it.
        known.is_held() && !range.is_held() || range.last > known.last
    }

    /// Returns the ranges that are new or changed since an earlier assignment.
    pub fn changes<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = &'a Range> {
        let is_new = |range: &&Range| earlier.range(range.first) != Some(*range);
        self.ranges.iter().filter(is_new)
    }

    /// Replaces the range with the given epoch by others.
    pub fn replace(&mut self, epoch: u64, ranges: Vec<Range>) {
        if let Some(index) = self.ranges.iter().position(|range| range.epoch == epoch) {
            self.ranges.splice(index..=index, ranges);
        }
    }
}

/// Divides ranges into parts whose keys the same ranges have. Returns the first and last key of each part
/// and its ranges, in the order of their epochs.
fn parts(ranges: &[Range]) -> Vec<(Key, Key, Vec<Range>)> {
    let firsts = ranges.iter().map(|range| u32::from(range.first));
    let ends = ranges.iter().map(|range| u32::from(range.last) + 1);
    let bounds: BTreeSet<u32> = firsts.chain(ends).collect();
    let bounds: Vec<u32> = bounds.into_iter().collect();
    let part = |bound: &[u32]| {
        let (first, last) = (bound[0] as Key, (bound[1] - 1) as Key);
        let has_keys = |range: &&Range| range.first <= first && last <= range.last;
        let mut owners: Vec<Range> = ranges.iter().filter(has_keys).cloned().collect();
        owners.sort_by_key(|range| range.epoch);
        (first, last, owners)
    };
    let parts = bounds.windows(2).map(part);
    parts.filter(|(_, _, owners)| !owners.is_empty()).collect()
}
