//! Leases: until when a holder may act.

use std::collections::BTreeMap;

use crate::{process::Process, time::Instant, times::Times};

/// What a process knows of its own freshness.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lease {
    /// Send time of the latest read that showed no record newer than those applied.
    proof: Option<Instant>,
    /// Send time of the latest heartbeat that each peer answered with a promise.
    promises: BTreeMap<Process, Instant>,
}

impl Lease {
    /// Notes a read of the log, sent at `sent`, that showed no newer record.
    pub fn prove(&mut self, sent: Instant) {
        self.proof = self.proof.max(Some(sent));
    }

    /// Notes a promise in answer to a heartbeat sent at `sent`.
    pub fn promise(&mut self, peer: &Process, sent: Instant) {
        let latest = self.promises.entry(peer.clone()).or_default();
        *latest = sent.max(*latest);
    }

    /// Drops the promises of a peer.
    pub fn withdraw(&mut self, peer: &Process) {
        self.promises.remove(peer);
    }

    /// Returns the send time of the latest log proof.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    /// Returns the end of the lease of a contract with these standbys, or `None` without a proof.
    ///
    /// Promises count only if every standby gave one. Without standbys only a log proof counts.
    pub fn end(&self, standbys: &[Process], times: &Times) -> Option<Instant> {
        let proof = self.proof?;
        let by_log = proof + times.lease;
        let oldest = standbys
            .iter()
            .map(|peer| self.promises.get(peer).copied())
            .min()
            .flatten();
        let by_promise = oldest
            .map(|sent| (sent + times.lease).min(proof + times.longest_extension()))
            .unwrap_or(by_log);
        Some(by_log.max(by_promise))
    }
}
