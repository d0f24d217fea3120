//! Claims, waits, promises, standbys and releases of one process.
//!
//! Safety rests on three rules. A holder acts only while its lease lasts. A standby that has
//! submitted a claim gives no promise for the epoch that the claim replaces. A claimer waits, from
//! the moment it learns that its claim took effect, until the earlier holder's lease has ended.

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

/// What one process holds, has submitted and may do.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ownership {
    process: Process,
    lease: Lease,
    held: BTreeMap<name::Target, Held>,
    claims: BTreeMap<record::Id, BTreeMap<name::Target, Option<Epoch>>>,
    taken: BTreeSet<Epoch>,
    standbys: BTreeMap<record::Id, Renaming>,
}

/// A contract that this process holds.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Held {
    /// The contract's epoch.
    pub epoch: Epoch,
    /// When the wait after the claim ends.
    pub from: Instant,
    /// True once this process has stopped sending work in order to give the contract up.
    pub stopped: bool,
    contract: Contract,
}

/// A submitted change of standbys whose effect is not known yet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Renaming {
    after: Offset,
    epochs: BTreeSet<Epoch>,
    standbys: Vec<Process>,
}

impl Ownership {
    /// Creates the state of a process that holds nothing.
    pub fn new(process: Process) -> Self {
        Self {
            process,
            lease: Lease::default(),
            held: BTreeMap::new(),
            claims: BTreeMap::new(),
            taken: BTreeSet::new(),
            standbys: BTreeMap::new(),
        }
    }

    /// Notes that a read of the log sent at `sent` showed no record newer than those applied.
    pub fn prove(&mut self, sent: Instant) {
        self.lease.prove(sent);
    }

    /// Notes a standby's answer to the heartbeat sent at `sent`.
    ///
    /// `asked` are the epochs that the heartbeat named, `withheld` those without a promise.
    pub fn note_promise(
        &mut self,
        peer: &Process,
        sent: Instant,
        asked: &[Epoch],
        withheld: &[Epoch],
    ) {
        for epoch in asked.iter().filter(|epoch| !withheld.contains(epoch)) {
            self.lease.promise(peer, *epoch, sent);
        }
    }

    /// Returns those of the asked epochs that this process can't give a promise for, because it
    /// has submitted a claim that replaces them and the log has not refused that claim.
    ///
    /// The epoch stays withheld after the claim took effect: the earlier holder may not have read
    /// that yet.
    pub fn withheld(&self, asked: &[Epoch]) -> Vec<Epoch> {
        let claimed = |epoch: &Epoch| {
            let mut claims = self.claims.values().flat_map(BTreeMap::values);
            self.taken.contains(epoch) || claims.any(|previous| *previous == Some(*epoch))
        };
        asked.iter().copied().filter(claimed).collect()
    }

    /// Returns the record of a claim and notes that it is submitted.
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

    /// Returns the record that names standbys for contracts and notes that it is submitted.
    ///
    /// The record confirms that this process's wait is over, so call this only for targets whose
    /// wait has passed. A claim that replaces a confirmed contract does not inherit its wait.
    pub fn rename(
        &mut self,
        id: record::Id,
        targets: Vec<(name::Target, Epoch)>,
        standbys: Vec<Process>,
    ) -> Record {
        let held = targets
            .iter()
            .filter_map(|(target, _)| self.held.get(target));
        let after = held.map(|h| h.contract.changed).max().unwrap_or_default();
        let renaming = Renaming {
            after,
            epochs: targets.iter().map(|(_, epoch)| *epoch).collect(),
            standbys: standbys.clone(),
        };
        self.standbys.insert(id, renaming);
        Record::Standbys {
            targets,
            standbys,
            after,
        }
    }

    /// Stops sending work to a target in order to give its contract up.
    pub fn stop(&mut self, target: &name::Target) {
        if let Some(held) = self.held.get_mut(target) {
            held.stopped = true;
        }
    }

    /// Follows a record that the ledger has applied. `now` is when this process learned of it.
    pub fn follow(
        &mut self,
        now: Instant,
        offset: Offset,
        entry: &Entry,
        ledger: &Ledger,
        times: &Times,
    ) {
        if let Some(claim) = self.claims.remove(&entry.id) {
            self.note_taken(claim, offset, ledger);
        }
        self.standbys.remove(&entry.id);
        match &entry.record {
            Record::Claim { targets, .. } => {
                for (target, _) in targets {
                    self.follow_claim(now, offset, target, ledger, times);
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

    /// Follows a ledger that was restored from a snapshot, without the records before it.
    ///
    /// Contracts that other processes claimed meanwhile are dropped. The wait of a contract that
    /// this process claimed meanwhile begins now, since the time of its claim is not known here.
    pub fn restore(&mut self, now: Instant, ledger: &Ledger, times: &Times) {
        let epoch = |target: &name::Target| ledger.contracts().get(target).map(|c| c.epoch);
        for target in ledger.contracts().keys() {
            let known = self.held.get(target).map(|held| held.epoch);
            match epoch(target).filter(|epoch| known != Some(*epoch)) {
                Some(epoch) => self.follow_claim(now, Offset(epoch.0), target, ledger, times),
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
        // Another claim may have followed on this process's own, so a refusal can't be inferred.
        let decided: BTreeMap<record::Id, BTreeMap<_, _>> = decided;
        let replaced = decided.into_values().flat_map(BTreeMap::into_values);
        self.taken.extend(replaced.flatten());
        let held = &self.held;
        self.standbys.retain(|_, renaming| {
            let mut contracts = held.values().map(|h| &h.contract);
            contracts.any(|c| renaming.epochs.contains(&c.epoch) && c.changed <= renaming.after)
        });
    }

    /// Notes the epochs that this process's claim at an offset has replaced.
    ///
    /// A claim without a wait followed on a release, so that the earlier holder no longer acts
    /// there. It may hold other targets under the same epoch and needs promises for them.
    fn note_taken(
        &mut self,
        claim: BTreeMap<name::Target, Option<Epoch>>,
        offset: Offset,
        ledger: &Ledger,
    ) {
        for (target, previous) in claim {
            let contract = ledger.contracts().get(&target);
            let taken = |c: &Contract| c.epoch.0 == offset.0 && c.wait != Wait::None;
            if contract.is_some_and(taken) {
                self.taken.extend(previous);
            }
        }
    }

    fn follow_claim(
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
            let held = Held {
                epoch: contract.epoch,
                from: now + contract.wait.span(times),
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
        let pending = self.standbys.values();
        let pending = pending.filter(|renaming| renaming.epochs.contains(&held.epoch));
        let standbys = held.contract.standbys.iter();
        let standbys: Vec<&Process> = standbys
            .chain(pending.flat_map(|renaming| renaming.standbys.iter()))
            .collect();
        self.lease.end(held.epoch, &standbys, times)
    }

    /// Returns the epoch under which this process may command a target now, if it may.
    pub fn epoch(&self, target: &name::Target, now: Instant, times: &Times) -> Option<Epoch> {
        let stopped = self.held.get(target).is_some_and(|held| held.stopped);
        self.last_epoch(target, now, times).filter(|_| !stopped)
    }

    /// Returns the epoch under which this process may still send requests that it admitted before
    /// it stopped. Not to be used once the record that gives the contract up is submitted.
    pub fn last_epoch(&self, target: &name::Target, now: Instant, times: &Times) -> Option<Epoch> {
        let held = self.held.get(target)?;
        let fresh = self.lease_end(target, times).is_some_and(|end| now < end);
        (held.from <= now && fresh).then_some(held.epoch)
    }

    /// Returns the contracts that this process holds.
    pub fn held(&self) -> &BTreeMap<name::Target, Held> {
        &self.held
    }

    /// Tells whether a claim on a target is submitted and not yet decided.
    pub fn is_claiming(&self, target: &name::Target) -> bool {
        self.claims
            .values()
            .any(|targets| targets.contains_key(target))
    }

    /// Tells whether a change of an epoch's standbys is submitted and not yet decided.
    pub fn is_renaming(&self, epoch: Epoch) -> bool {
        let mut pending = self.standbys.values();
        pending.any(|renaming| renaming.epochs.contains(&epoch))
    }

    /// Returns what this process knows of its own freshness.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns this process.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

impl Held {
    /// Returns the standbys that the log names.
    pub fn standbys(&self) -> &[Process] {
        &self.contract.standbys
    }

    /// Tells whether the log has a record that this process wrote after its wait.
    pub fn is_confirmed(&self) -> bool {
        self.contract.confirmed
    }
}
