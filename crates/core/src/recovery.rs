//! Snapshots of a node: when they are written, and how one replaces the node's state.

use crate::{
    action::Action,
    handover::Handover,
    ledger::Ledger,
    node::{Node, Phase},
    number::Offset,
    placement,
    record::Record,
    request::Refusal,
    snapshot::{self, Policy},
    time::{Instant, Span},
};

impl Node {
    /// Makes the node write snapshots by a policy. Without one it writes none.
    pub fn with_snapshots(mut self, policy: Policy) -> Self {
        self.snapshots.policy = Some(policy);
        self
    }

    /// Writes a snapshot if one is due and this process ranks first among the candidates.
    pub(crate) fn snapshot(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.started || self.stopping.is_some() || !self.is_log_available(now) {
            return;
        }
        self.snapshots.sample(now, self.ledger.offset());
        if !self.snapshots.is_due(now, self.ledger.offset()) || !self.is_snapshot_writer(now) {
            return;
        }
        let Ok(records) = snapshot::records(&self.ledger) else {
            return;
        };
        if let Some(before) = self.expired_before(now) {
            self.append("request ids expire", Record::Forget { before }, actions);
        }
        for record in records {
            let id = self.next_entry();
            self.snapshots.submit(id);
            self.append_as(id, "snapshot is due", record, actions);
        }
    }

    fn is_snapshot_writer(&self, now: Instant) -> bool {
        let candidates = self.candidates(now);
        let processes = candidates.iter().map(|peer| peer.process.clone());
        placement::rank("snapshot", processes).first() == Some(&self.config.process)
    }

    /// Returns the offset before which all request ids are past their window.
    fn expired_before(&self, now: Instant) -> Option<Offset> {
        let rows = self.ledger.table().services.values();
        let window = rows.map(|row| row.id_window).max().unwrap_or(Span::ZERO);
        self.snapshots
            .before(now, self.config.times.outlast(window))
    }

    /// Replaces the ledger by a later one. The records between the two are not read.
    pub(crate) fn restore(&mut self, now: Instant, ledger: Ledger, actions: &mut Vec<Action>) {
        if ledger.offset() <= self.ledger.offset() {
            return;
        }
        self.ledger = ledger;
        self.snapshots.restore(self.ledger.offset());
        self.agreement.reset();
        self.agreement
            .set_own(self.ledger.offset(), self.ledger.hash());
        for peer in self.ledger.processes().values() {
            self.detector.start_timeout(&peer.process, now);
        }
        self.ownership
            .restore(now, &self.ledger, &self.config.times);
        self.reconcile(now, actions);
        self.drop_registering(now, actions);
        self.drop_handovers();
        self.route_waiting(now, actions);
    }

    /// Refuses requests whose intent may be among the records that were not read. They did not
    /// run, but the log may already have an intent under their ids.
    fn drop_registering(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let pending = self.tickets.iter();
        let registering = pending.filter_map(|(ticket, pending)| match &pending.phase {
            Phase::Registering(target, _) => Some((*ticket, target.clone())),
            _ => None,
        });
        let registering: Vec<_> = registering.collect();
        for (ticket, target) in registering {
            self.refuse(ticket, Refusal::Duplicate, None, actions);
            self.free_slot(now, ticket, &target, None, actions);
        }
    }

    /// Removes submitted moves that the new ledger shows as decided.
    fn drop_handovers(&mut self) {
        let contracts = self.ledger.contracts();
        for (target, state) in &mut self.target_states {
            let contract = contracts.get(target);
            let is_decided = |handover: &Handover| {
                let decided = handover.submitted.zip(contract);
                decided.is_some_and(|(submitted, contract)| submitted.is_decided(contract))
            };
            state.handover.take_if(|handover| is_decided(handover));
        }
    }
}
