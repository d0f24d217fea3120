//! Assignment of a service's keys to targets.

use serde::{Deserialize, Serialize};

use crate::registration::Incarnation;

/// A key of a partitioned service.
pub type Key = u16;

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
