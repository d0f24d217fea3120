//! When the bytes in the read buffer of a connection arrived.

use std::collections::VecDeque;

use ragwortrill_core::time::{Instant, Span};

/// Difference up to which two reads count as one.
const MERGE_TIME: Span = Span::from_millis(10);

/// Earliest times at which the bytes of a read buffer can have arrived, the oldest first.
#[derive(Debug)]
pub struct Arrivals {
    reads: VecDeque<Read>,
    /// Bytes of all reads.
    buffered: usize,
    /// Time before which the next bytes can't have arrived.
    not_before: Instant,
    /// Whether the next bytes may have lain unread since then.
    may_lie_unread: bool,
}

#[derive(Debug)]
struct Read {
    length: usize,
    at: Instant,
}

impl Arrivals {
    /// Creates the arrivals of a connection that was established at `since` or later.
    pub fn new(since: Instant) -> Self {
        Self {
            reads: VecDeque::new(),
            buffered: 0,
            not_before: since,
            may_lie_unread: false,
        }
    }

    /// Creates the arrivals of a connection that was established at `since` or later and was
    /// accepted with bytes to read, which may have lain there since then.
    pub fn of_waiting(since: Instant) -> Self {
        Self {
            may_lie_unread: true,
            ..Self::new(since)
        }
    }

    /// Records a read, after which the buffer holds `buffered` bytes. `is_drained` tells whether it
    /// took all bytes that were there. Bytes can have lain unread for as long as the event loop is
    /// late, but not since before the previous read.
    pub fn record(&mut self, now: Instant, lag: Span, buffered: usize, is_drained: bool) {
        let at = match std::mem::take(&mut self.may_lie_unread) {
            true => self.not_before,
            false => (now - lag).max(self.not_before),
        };
        self.not_before = if is_drained { now } else { at };
        let length = buffered.saturating_sub(self.buffered);
        self.buffered = buffered;
        match self.reads.back_mut() {
            Some(last) if at.since(last.at) < MERGE_TIME => last.length += length,
            _ => self.reads.push_back(Read { length, at }),
        }
    }

    /// Records that the buffer holds only its last `buffered` bytes any more.
    pub fn retain(&mut self, buffered: usize) {
        let mut taken = self.buffered.saturating_sub(buffered);
        self.buffered -= taken;
        while let Some(first) = self.reads.front_mut() {
            if first.length > taken {
                first.length -= taken;
                return;
            }
            taken -= first.length;
            self.reads.pop_front();
        }
    }

    /// Returns the earliest time at which the first byte in the buffer can have arrived.
    pub fn oldest(&self) -> Option<Instant> {
        self.reads.front().map(|read| read.at)
    }
}
