//! Events of a run, in order of time.

use std::{cmp::Reverse, collections::BinaryHeap};

use ragwortrill_core::{record::Share, request::Id, time::Instant};

/// Something that happens at a moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    /// The next request arrives at an entry.
    Arrive,
    /// A copy of a request reaches the holder of a target.
    Deliver(Id, usize),
    /// A request is routed again.
    Route(u64),
    /// A target has done the work of a copy.
    Done(Id, usize),
    /// An answer has been streamed to its end.
    Streamed(Id, usize),
    /// A request may get a second copy.
    Hedge(u64),
    /// A request's deadline passes.
    Deadline(u64),
    /// All daemons have read the record of a move.
    Moved(Share),
    /// Waiting requests expire; availability is sampled.
    Sample,
    /// Probes, checks, plans and load messages.
    Tick,
    /// The scenario's next action.
    Act(usize),
    /// A crashing request is sent.
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
