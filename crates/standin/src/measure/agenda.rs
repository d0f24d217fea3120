//! Pending events of a run, in order of time.

use std::{cmp::Reverse, collections::BinaryHeap};

use ragwortrill_core::{record::Share, request::Id, time::Instant};

/// Event of a simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    /// The next request arrives at an entry.
    Arrive,
    /// A copy of a request reaches the holder of a target.
    Deliver(Id, usize),
    /// A request is routed after a failure or a move.
    Route(u64),
    /// A target has finished a copy of a request.
    Done(Id, usize),
    /// A target has streamed the last byte of an answer.
    Streamed(Id, usize),
    /// A request may be hedged with a second copy.
    Hedge(u64),
    /// A request's deadline passes.
    Deadline(u64),
    /// All daemons have read the log record of a move.
    Moved(Share),
    /// Waiting requests are checked for expiry, and availability is sampled.
    Sample,
    /// Targets are probed and checked, moves planned, and loads sent to entries.
    Tick,
    /// The scenario's action with this index is due.
    Action(usize),
    /// A request that crashes its target is sent.
    Poison,
}

/// Pending events. Events of the same moment keep the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    added: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Instant, event: Event) {
        self.added += 1;
        self.heap.push(Reverse((at, self.added, event)));
    }

    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
