//! Which target owns which keys of a service.

use serde::{Deserialize, Serialize};

use crate::registration::Incarnation;

/// A key of a partitioned service.
pub type Key = u16;

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 65_536;

/// A contiguous range of keys, both ends included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Range {
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Epoch of the owner's grant: the fencing token. No two ranges share one.
    pub epoch: u64,
    /// Target that owns the keys, or will.
    pub owner: Incarnation,
    /// Whether the owner holds the keys.
    pub state: State,
}

/// How far a range's owner is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// The owner holds the keys.
    Held,
    /// The owner gets the keys as soon as none of the earlier owners can hold them any more.
    Moving(Vec<PreviousOwner>),
}

/// An earlier owner of a range.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousOwner {
    /// The target.
    #[serde(rename = "life")]
    pub target: Incarnation,
    /// Epoch of its release, above that of its last grant: a grant that arrives later is refused.
    pub fence: u64,
}

/// Ranges of one service, in order and without overlap. Each is a record of its own in the log, by
/// its first key; a change never removes a first key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Epoch that the next change uses; above all that were used.
    pub next_epoch: u64,
    /// Ranges in the order of their keys.
    pub ranges: Vec<Range>,
}

impl Range {
    /// Returns the number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Tells whether the owner holds the keys.
    pub fn is_held(&self) -> bool {
        self.state == State::Held
    }
}

impl Assignment {
    /// Returns the range of a key.
    pub fn range(&self, key: Key) -> Option<&Range> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        (key <= range.last).then_some(range)
    }

    /// Returns an epoch that was never used.
    pub fn allocate_epoch(&mut self) -> u64 {
        self.next_epoch = self.next_epoch.max(1);
        self.next_epoch += 1;
        self.next_epoch - 1
    }

    /// Inserts a range as the log has it, in place of that with the same first key.
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

    /// Returns the ranges that differ from an earlier assignment.
    pub fn changes<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = &'a Range> {
        let is_new = |range: &&Range| earlier.range(range.first) != Some(*range);
        self.ranges.iter().filter(is_new)
    }

    /// Replaces the range with this epoch by others.
    pub fn replace(&mut self, epoch: u64, ranges: Vec<Range>) {
        if let Some(index) = self.ranges.iter().position(|range| range.epoch == epoch) {
            self.ranges.splice(index..=index, ranges);
        }
    }
}
