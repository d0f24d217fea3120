//! Ends of targets in the order in which they became known.

use std::collections::{BTreeMap, VecDeque};

use ragwortrill_core::time::Instant;

use super::{MASS_LOSS_TARGETS, MASS_LOSS_WINDOW, QUARANTINE_TIME};
use crate::registration::Incarnation;

/// Maximum number of ended targets that are remembered. The oldest are forgotten.
pub const MAX_ENDS: usize = 1_024;

/// Targets that ended without having drained, each once, numbered in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Ends {
    /// Number of the first end in `known`.
    first: u64,
    known: VecDeque<(Instant, Incarnation)>,
    numbers: BTreeMap<Incarnation, u64>,
}

/// Numbers of the ends that are counted as lost together, both inclusive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub(super) first: u64,
    pub(super) last: u64,
}

impl Loss {
    /// Returns the number of targets that were lost.
    pub(super) fn len(self) -> usize {
        (self.last + 1 - self.first) as usize
    }

    /// Returns whether so many targets were lost that a common cause is likely.
    pub(super) fn is_mass(self) -> bool {
        self.len() >= MASS_LOSS_TARGETS
    }
}

impl Ends {
    /// Records the end of a target, unless it is known. Returns its number.
    pub(super) fn record(&mut self, now: Instant, target: &Incarnation) -> u64 {
        self.expire(now);
        if let Some(number) = self.numbers.get(target) {
            return *number;
        }
        let number = self.first + self.known.len() as u64;
        self.known.push_back((now, target.clone()));
        self.numbers.insert(target.clone(), number);
        number
    }

    /// Returns the number of the oldest end that is remembered.
    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Returns when a target ended, if it is remembered.
    pub(super) fn at(&self, number: u64) -> Option<Instant> {
        let index = number.checked_sub(self.first)?;
        self.known.get(index as usize).map(|(at, _)| *at)
    }

    /// Returns the ends that happened shortly before or after a time.
    pub(super) fn loss(&self, at: Instant) -> Loss {
        let is_before = |(end, _): &(Instant, Incarnation)| at.since(*end) >= MASS_LOSS_WINDOW;
        let is_until =
            |(end, _): &(Instant, Incarnation)| *end <= at || end.since(at) < MASS_LOSS_WINDOW;
        let first = self.known.partition_point(is_before) as u64;
        let end = self.known.partition_point(is_until) as u64;
        Loss {
            first: self.first + first,
            last: self.first + end.max(first + 1) - 1,
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, target)) = self.known.front() {
            let is_over = now.since(*at) >= QUARANTINE_TIME;
            if !is_over && self.known.len() < MAX_ENDS {
                return;
            }
            self.numbers.remove(target);
            self.known.pop_front();
            self.first += 1;
        }
    }
}
