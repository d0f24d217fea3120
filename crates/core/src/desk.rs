//! What the holder of a target keeps about it.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    event::Ticket,
    handover::Handover,
    number::Epoch,
    time::{Instant, Span},
    times::Times,
};

/// Requests, grants and health of a target that this process holds.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    /// Epoch under which this process holds the target.
    pub(crate) epoch: Epoch,
    /// Requests that the target runs, with the deadline of each.
    pub(crate) running: BTreeMap<Ticket, Instant>,
    /// Requests that wait for a slot.
    pub(crate) queue: VecDeque<Ticket>,
    /// Shares on their way to other targets.
    pub(crate) handover: Option<Handover>,
    /// When this process first knew that it holds the target.
    pub(crate) since: Instant,
    /// Last answer to a probe.
    answered: Instant,
    /// Last probe sent.
    probed: Option<Instant>,
    /// Last grant sent.
    granted: Option<Instant>,
    /// True once the target has accepted a grant of this epoch.
    pub(crate) accepted: bool,
    /// Restart mark of the target.
    pub(crate) mark: Option<u64>,
    /// Answers that arrived after their request's deadline.
    pub(crate) late: u64,
}

impl Desk {
    pub(crate) fn new(epoch: Epoch, now: Instant) -> Self {
        Self {
            epoch,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            handover: None,
            since: now,
            answered: now,
            probed: None,
            granted: None,
            accepted: false,
            mark: None,
            late: 0,
        }
    }

    /// Tells whether a probe is due, and notes that it is sent.
    pub(crate) fn probe(&mut self, now: Instant, times: &Times) -> bool {
        let due = is_due(self.probed, now, times.probe);
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Tells whether a grant is due, and notes that it is sent.
    ///
    /// A target that doesn't answer probes gets no grant, so that its last one ends in time.
    pub(crate) fn grant(&mut self, now: Instant, times: &Times) -> bool {
        let answers = now.since(self.answered) < times.grant_renewal;
        let due = answers && is_due(self.granted, now, times.grant_renewal);
        if due {
            self.granted = Some(now);
        }
        due
    }

    /// Restarts the timeout of the target.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.answered = now;
    }

    /// Notes an answer to a probe.
    pub(crate) fn answer(&mut self, now: Instant, mark: u64) {
        self.answered = now;
        self.mark = Some(mark);
    }

    /// Tells whether the target counts as lost.
    pub(crate) fn is_lost(&self, now: Instant, times: &Times) -> bool {
        now.since(self.answered) >= times.target_lost
    }

    /// Returns when the target can no longer serve under any grant that was sent.
    pub(crate) fn grant_end(&self, times: &Times) -> Instant {
        self.granted
            .map(|sent| sent + times.outlast(times.grant))
            .unwrap_or_default()
    }

    /// Returns the latest deadline of the requests that the target runs.
    pub(crate) fn last_deadline(&self) -> Instant {
        self.running.values().copied().max().unwrap_or_default()
    }
}

fn is_due(last: Option<Instant>, now: Instant, interval: Span) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
