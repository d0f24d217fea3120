//! Claims, waits, promises, standbys and releases of one process.
//!
//! Safety rests on three rules. A holder acts only while its lease lasts. A standby that has
//! submitted a claim gives no promise for the epoch that the claim replaces. A claimer waits, from
//! when it reads that its claim took effect, until the earlier holder's lease has ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    contract::{Contract, Wait},
    lease::Lease,
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
    process::Process,
    record::{self, Entry, Record},
    time::Instant,
    times::Times,
};

/// Contracts, submitted claims and lease of one process.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ownership {
    process: Process,
    lease: Lease,
    held: BTreeMap<name::Target, Holding>,
    /// Submitted claims that the log has not decided yet: the epoch to replace, by target.
    claims: BTreeMap<record::Id, BTreeMap<name::Target, Option<Epoch>>>,
    /// Epochs that claims of this process replaced and that it gives no promise for.
    replaced: BTreeSet<Epoch>,
    standby_changes: BTreeMap<record::Id, StandbyChange>,
}

/// A contract that this process holds.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holding {
    /// Epoch of the contract.
    pub epoch: Epoch,
    /// When the wait after the claim ends.
    pub active_from: Instant,
    /// True once this process has stopped sending requests in order to release the contract.
    pub stopped: bool,
    contract: Contract,
}

/// A submitted change of standbys that the log has not shown yet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct StandbyChange {
    after: Offset,
    epochs: BTreeSet<Epoch>,
    standbys: Vec<Process>,
}

impl Ownership {
    /// Creates the state of a process that holds no contract.
    pub fn new(process: Process) -> Self {
        Self {
            process,
            lease: Lease::default(),
            held: BTreeMap::new(),
            claims: BTreeMap::new(),
            replaced: BTreeSet::new(),
            standby_changes: BTreeMap::new(),
        }
    }

    /// Adds a log proof: a read of the log, sent at `sent`, that showed no record newer than those
    /// applied.
    pub fn add_proof(&mut self, sent: Instant) {
        self.lease.add_proof(sent);
    }

    /// Adds the promises in a standby's answer to the heartbeat sent at `sent`.
    ///
    /// `requested` are the epochs in the heartbeat, `withheld` those of them that are given no
    /// promise.
    pub fn add_promise(
        &mut self,
        peer: &Process,
        sent: Instant,
        requested: &[Epoch],
        withheld: &[Epoch],
    ) {
        for epoch in requested.iter().filter(|epoch| !withheld.contains(epoch)) {
            self.lease.add_promise(peer, *epoch, sent);
        }
    }

    /// Returns those of the requested epochs that this process can't give a promise for, because it
    /// has submitted a claim that replaces them and the log has not refused that claim.
    ///
    /// The epoch stays withheld after the claim took effect: the earlier holder may not have read
    /// that yet.
    pub fn withheld(&self, requested: &[Epoch]) -> Vec<Epoch> {
        let claimed = |epoch: &Epoch| {
            let mut claims = self.claims.values().flat_map(BTreeMap::values);
            self.replaced.contains(epoch) || claims.any(|previous| *previous == Some(*epoch))
        };
        requested.iter().copied().filter(claimed).collect()
    }

    /// Returns the record of a claim and stores the claim as submitted.
    pub fn claim(
        &mut self,
        id: record::Id,
        targets: Vec<(name::Target, Option<Epoch>)>,
        standbys: Vec<Process>,
    ) -> Record {
        self.claims.insert(id, targets.iter().cloned().collect());
        Record::Claim {
            holder: self.process.clone(),
            targets,
            standbys,
        }
    }

    /// Returns the record that replaces the standbys of contracts and stores the change as
    /// submitted.
    ///
    /// The record confirms that this process's wait is over, so call this only for targets whose
    /// wait has passed. A claim that replaces a confirmed contract does not inherit its wait.
    pub fn change_standbys(
        &mut self,
        id: record::Id,
        targets: Vec<(name::Target, Epoch)>,
        standbys: Vec<Process>,
    ) -> Record {
        let held = targets
            .iter()
            .filter_map(|(target, _)| self.held.get(target));
        let after = held.map(|h| h.contract.changed).max().unwrap_or_default();
        let change = StandbyChange {
            after,
            epochs: targets.iter().map(|(_, epoch)| *epoch).collect(),
            standbys: standbys.clone(),
        };
        self.standby_changes.insert(id, change);
        Record::Standbys {
            targets,
            standbys,
            after,
        }
    }

    /// Stops sending requests to a target in order to release its contract.
    pub fn stop(&mut self, target: &name::Target) {
        if let Some(held) = self.held.get_mut(target) {
            held.stopped = true;
        }
    }

    /// Updates this state after the ledger has applied a record, which this process read at `now`.
    pub fn apply(
        &mut self,
        now: Instant,
        offset: Offset,
        entry: &Entry,
        ledger: &Ledger,
        times: &Times,
    ) {
        if let Some(claim) = self.claims.remove(&entry.id) {
            self.withhold_replaced(claim, offset, ledger);
        }
        self.standby_changes.remove(&entry.id);
        match &entry.record {
            Record::Claim { targets, .. } => {
                for (target, _) in targets {
                    self.apply_claim(now, offset, target, ledger, times);
                }
            }
            Record::Standbys { targets, .. } => {
                for (target, _) in targets {
                    self.refresh(target, ledger);
                }
            }
            Record::Release { targets } => {
                for (target, _, _) in targets {
                    self.refresh(target, ledger);
                }
            }
            Record::Move { from, .. } => self.refresh(from, ledger),
            _ => {}
        }
    }

    /// Updates this state after the ledger was restored from a snapshot, which skips records.
    ///
    /// Contracts that other processes claimed meanwhile are dropped. The wait of a contract that
    /// this process claimed meanwhile begins now, since the time of its claim is not known here.
    pub fn restore(&mut self, now: Instant, ledger: &Ledger, times: &Times) {
        let epoch = |target: &name::Target| ledger.contracts().get(target).map(|c| c.epoch);
        for target in ledger.contracts().keys() {
            let known = self.held.get(target).map(|held| held.epoch);
            match epoch(target).filter(|epoch| known != Some(*epoch)) {
                Some(epoch) => self.apply_claim(now, Offset(epoch.0), target, ledger, times),
                None => self.refresh(target, ledger),
            }
        }
        let current = |target: &name::Target| ledger.contracts().get(target).map(|c| c.epoch);
        let is_open = |claim: &BTreeMap<name::Target, Option<Epoch>>| {
            claim.iter().any(|(t, previous)| current(t) == *previous)
        };
        let claims = std::mem::take(&mut self.claims);
        let (open, decided) = claims.into_iter().partition(|(_, claim)| is_open(claim));
        self.claims = open;
        // The log may have accepted this process's claim and then another one that replaced it, so
        // a claim that is no longer open can't be taken as refused: its epochs stay withheld.
        let decided: BTreeMap<record::Id, BTreeMap<_, _>> = decided;
        let replaced = decided.into_values().flat_map(BTreeMap::into_values);
        self.replaced.extend(replaced.flatten());
        let held = &self.held;
        self.standby_changes.retain(|_, change| {
            let mut contracts = held.values().map(|h| &h.contract);
            contracts.any(|c| change.epochs.contains(&c.epoch) && c.changed <= change.after)
        });
    }

    /// Withholds promises for the epochs that this process's claim at an offset has replaced.
    ///
    /// Claims without a wait are left out: they replaced released contracts, so the earlier holder
    /// no longer acts on those targets. It may hold other targets under the same epoch and needs
    /// promises for them.
    fn withhold_replaced(
        &mut self,
        claim: BTreeMap<name::Target, Option<Epoch>>,
        offset: Offset,
        ledger: &Ledger,
    ) {
        for (target, previous) in claim {
            let contract = ledger.contracts().get(&target);
            let replaced = |c: &Contract| c.epoch.0 == offset.0 && c.wait != Wait::None;
            if contract.is_some_and(replaced) {
                self.replaced.extend(previous);
            }
        }
    }

    fn apply_claim(
        &mut self,
        now: Instant,
        offset: Offset,
        target: &name::Target,
        ledger: &Ledger,
        times: &Times,
    ) {
        let Some(contract) = ledger.contracts().get(target) else {
            return;
        };
        if contract.epoch.0 == offset.0 && contract.holder == self.process {
            let held = Holding {
                epoch: contract.epoch,
                active_from: now + contract.wait.span(times),
                stopped: false,
                contract: contract.clone(),
            };
            self.held.insert(target.clone(), held);
        }
        self.refresh(target, ledger);
    }

    fn refresh(&mut self, target: &name::Target, ledger: &Ledger) {
        let contract = ledger.contracts().get(target);
        let current = contract.filter(|c| c.holder == self.process && c.released.is_none());
        let held = self.held.get_mut(target);
        match held.zip(current) {
            Some((held, current)) if held.epoch == current.epoch => {
                held.contract = current.clone();
            }
            _ => {
                self.held.remove(target);
            }
        }
        let held = &self.held;
        self.lease
            .retain(|epoch| held.values().any(|h| h.epoch == epoch));
    }

    /// Returns the end of this process's lease on a target that it holds.
    pub fn lease_end(&self, target: &name::Target, times: &Times) -> Option<Instant> {
        let held = self.held.get(target)?;
        let pending = self.standby_changes.values();
        let pending = pending.filter(|change| change.epochs.contains(&held.epoch));
        let standbys = held.contract.standbys.iter();
        let standbys: Vec<&Process> = standbys
            .chain(pending.flat_map(|change| change.standbys.iter()))
            .collect();
        self.lease.end(held.epoch, &standbys, times)
    }

    /// Returns the epoch under which this process may act on a target now, if any.
    pub fn epoch(&self, target: &name::Target, now: Instant, times: &Times) -> Option<Epoch> {
        let stopped = self.held.get(target).is_some_and(|held| held.stopped);
        self.last_epoch(target, now, times).filter(|_| !stopped)
    }

    /// Returns the epoch under which this process may still send requests that it admitted before
    /// it stopped. Not to be used once the record that releases the contract is submitted.
    pub fn last_epoch(&self, target: &name::Target, now: Instant, times: &Times) -> Option<Epoch> {
        let held = self.held.get(target)?;
        let fresh = self.lease_end(target, times).is_some_and(|end| now < end);
        (held.active_from <= now && fresh).then_some(held.epoch)
    }

    /// Returns the contracts that this process holds.
    pub fn held(&self) -> &BTreeMap<name::Target, Holding> {
        &self.held
    }

    /// Returns whether a claim on a target is submitted and the log has not decided it yet.
    pub fn is_claiming(&self, target: &name::Target) -> bool {
        self.claims
            .values()
            .any(|targets| targets.contains_key(target))
    }

    /// Returns whether a change of an epoch's standbys is submitted and the log has not decided it
    /// yet.
    pub fn is_changing_standbys(&self, epoch: Epoch) -> bool {
        let mut pending = self.standby_changes.values();
        pending.any(|change| change.epochs.contains(&epoch))
    }

    /// Returns the log proof and promises that this process's leases rest on.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns this process.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

impl Holding {
    /// Returns the contract's standbys as last read from the log.
    pub fn standbys(&self) -> &[Process] {
        &self.contract.standbys
    }

    /// Returns whether the log has a record that this process wrote after its wait.
    pub fn is_confirmed(&self) -> bool {
        self.contract.confirmed
    }
}
