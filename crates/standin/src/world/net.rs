//! Links with delay, loss and cuts.

use std::collections::BTreeSet;

use rand::{RngExt, rngs::Xoshiro256PlusPlus};

use ragwortrill_core::time::Span;

/// Delay in a data centre.
const NEAR: Span = Span::from_micros(200);
/// Delay between data centres.
const FAR: Span = Span::from_micros(1_500);
/// Largest part of the delay that varies.
const JITTER_MICROS: u64 = 100;

/// An end of a link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum End {
    /// A daemon by number.
    Daemon(usize),
    /// The log service.
    Log,
    /// A target by number.
    Target(usize),
}

/// All links.
#[derive(Clone, Debug)]
pub struct Net {
    cuts: BTreeSet<(End, End)>,
    centres: usize,
    loss_ppm: u32,
}

impl Net {
    pub(super) fn new(centres: usize, loss_ppm: u32) -> Self {
        Self {
            cuts: BTreeSet::new(),
            centres,
            loss_ppm,
        }
    }

    /// Cuts a link in both directions.
    pub fn cut(&mut self, one: End, other: End) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Restores a link in both directions.
    pub fn join(&mut self, one: End, other: End) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Restores all links.
    pub fn join_all(&mut self) {
        self.cuts.clear();
    }

    /// Tells whether a link carries messages.
    pub fn is_open(&self, from: End, to: End) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Returns the delay of a message, or `None` if the link loses it.
    pub(super) fn delay(
        &self,
        from: End,
        to: End,
        random: &mut Xoshiro256PlusPlus,
    ) -> Option<Span> {
        let jitter = random.random_range(0..JITTER_MICROS);
        let lost = random.random_range(0..1_000_000) < self.loss_ppm;
        let near = self.centre(from) == self.centre(to);
        let base = if near { NEAR } else { FAR };
        (!lost && self.is_open(from, to)).then_some(base + Span(jitter))
    }

    /// Returns the data centre of an end. Daemons and targets are dealt out in turn.
    fn centre(&self, end: End) -> Option<usize> {
        match end {
            End::Daemon(index) | End::Target(index) => Some(index % self.centres),
            End::Log => None,
        }
    }
}
