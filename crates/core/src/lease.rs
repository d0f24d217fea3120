//! Leases: until when a holder may act.

use std::collections::BTreeMap;

use crate::{
    number::Epoch,
    process::Process,
    time::{Instant, Span},
    times::Times,
};

/// The log proof and the promises that the leases of a process rest on.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lease {
    /// Send time of the latest read that showed no record newer than those applied.
    proof: Option<Instant>,
    /// Send time of the latest heartbeat that each peer answered with a promise, by epoch.
    promises: BTreeMap<(Epoch, Process), Instant>,
}

impl Lease {
    /// Adds a read of the log, sent at `sent`, that showed no newer record.
    pub fn add_proof(&mut self, sent: Instant) {
        self.proof = self.proof.max(Some(sent));
    }

    /// Adds a promise for an epoch in answer to a heartbeat sent at `sent`.
    pub fn add_promise(&mut self, peer: &Process, epoch: Epoch, sent: Instant) {
        let latest = self.promises.entry((epoch, peer.clone())).or_default();
        *latest = sent.max(*latest);
    }

    /// Drops the promises for epochs that are no longer held.
    pub fn retain(&mut self, held: impl Fn(Epoch) -> bool) {
        self.promises.retain(|(epoch, _), _| held(*epoch));
    }

    /// Returns the send time of the latest log proof.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    /// Returns whether the latest log proof is younger than a span.
    pub fn is_recent(&self, now: Instant, span: Span) -> bool {
        self.proof.is_some_and(|proof| now < proof + span)
    }

    /// Returns the end of a contract's lease, or `None` if the process never had a log proof.
    ///
    /// Promises count only if every standby gave one. Without standbys only a log proof counts.
    pub fn end(&self, epoch: Epoch, standbys: &[&Process], times: &Times) -> Option<Instant> {
        let proof = self.proof?;
        let by_log = proof + times.lease;
        let given = |peer: &&Process| self.promises.get(&(epoch, (*peer).clone())).copied();
        let oldest = standbys.iter().map(given).min().flatten();
        let by_promise = oldest
            .map(|sent| (sent + times.lease).min(proof + times.max_extension()))
            .unwrap_or(by_log);
        Some(by_log.max(by_promise))
    }
}
