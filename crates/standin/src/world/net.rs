//! Model of network links with delay, loss and cuts.

use std::collections::BTreeSet;

use rand::{RngExt, rngs::Xoshiro256PlusPlus};

use ragwortrill_core::time::Span;

/// One-way delay within a data centre.
const LOCAL_DELAY: Span = Span::from_micros(200);
/// One-way delay between data centres.
const REMOTE_DELAY: Span = Span::from_micros(1_500);
/// Upper bound of the random addition to the delay.
const MAX_JITTER_MICROS: u64 = 100;

/// Endpoint of a link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Endpoint {
    /// A daemon, by index.
    Daemon(usize),
    /// The log service.
    Log,
    /// A target, by index.
    Target(usize),
}

/// Links between all endpoints.
#[derive(Clone, Debug)]
pub struct Net {
    cuts: BTreeSet<(Endpoint, Endpoint)>,
    data_centres: usize,
    loss_ppm: u32,
}

impl Net {
    pub(super) fn new(data_centres: usize, loss_ppm: u32) -> Self {
        Self {
            cuts: BTreeSet::new(),
            data_centres,
            loss_ppm,
        }
    }

    /// Cuts a link in both directions.
    pub fn cut(&mut self, one: Endpoint, other: Endpoint) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Restores a link in both directions.
    pub fn restore(&mut self, one: Endpoint, other: Endpoint) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Restores all links.
    pub fn restore_all(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether a link is not cut.
    pub fn is_open(&self, from: Endpoint, to: Endpoint) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Returns the delay of a message, or `None` if the link loses it.
    pub(super) fn delay(
        &self,
        from: Endpoint,
        to: Endpoint,
        random: &mut Xoshiro256PlusPlus,
    ) -> Option<Span> {
        let jitter = random.random_range(0..MAX_JITTER_MICROS);
        let lost = random.random_range(0..1_000_000) < self.loss_ppm;
        let local = self.data_centre(from) == self.data_centre(to);
        let base = if local { LOCAL_DELAY } else { REMOTE_DELAY };
        (!lost && self.is_open(from, to)).then_some(base + Span(jitter))
    }

    /// Returns the data centre of an endpoint. Daemons and targets are assigned to data centres in
    /// turn.
    fn data_centre(&self, end: Endpoint) -> Option<usize> {
        match end {
            Endpoint::Daemon(index) | Endpoint::Target(index) => Some(index % self.data_centres),
            Endpoint::Log => None,
        }
    }
}
