//! The state that all daemons share: a deterministic fold of the log's records.

mod assignment;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    archive::Archive,
    contract::{self, Contract},
    key, name,
    number::{Epoch, Offset, Version},
    placement,
    process::Process,
    record::{self, Entry, Record, Share, State},
    request,
    table::{Service, Table},
};

pub use assignment::Assignment;

/// The shared state after all records up to an offset.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    offset: Offset,
    hash: u64,
    version: Version,
    table: Table,
    table_entry: record::Id,
    table_offset: Offset,
    data_centres: BTreeMap<name::DataCentre, Override>,
    hosts: BTreeMap<name::Host, Override>,
    targets: BTreeMap<name::Target, Override>,
    processes: BTreeMap<name::Host, Peer>,
    lost: BTreeSet<Process>,
    contracts: BTreeMap<name::Target, Contract>,
    assignments: BTreeMap<name::Service, Assignment>,
    #[serde_as(as = "Vec<(_, _)>")]
    requests: BTreeMap<request::Id, Intent>,
    quarantine: BTreeMap<request::Fingerprint, Offset>,
    #[serde(default)]
    archive: Archive,
}

/// State that an operator set for a data centre, host or target, and the record's offset.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Override {
    state: State,
    offset: Offset,
}

/// The latest process of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Identity of the process.
    pub process: Process,
    /// Address on which it accepts links from other daemons.
    pub address: std::net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: name::DataCentre,
    /// Offset of its [`Record::Started`].
    pub offset: Offset,
}

/// Permission for a non-idempotent request to run once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// Offset of the [`Record::Intent`].
    pub offset: Offset,
    /// Epoch under which the request may run.
    pub epoch: Epoch,
    /// HTTP status of the response, once a [`Record::Outcome`] has it.
    pub status: Option<u16>,
}

/// Result of applying a record to the ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The record took effect, at least for one of its parts.
    Applied,
    /// The record had taken effect before; this is a repeated copy.
    Duplicate,
    /// The record names a version or epoch that is no longer current.
    Conflict,
    /// The record names something that does not exist, or a change that isn't allowed.
    Invalid,
    /// Records before this one were not applied yet, so it was not applied either.
    Missing,
}

impl Effect {
    fn from_change(changed: bool) -> Self {
        if changed {
            Self::Applied
        } else {
            Self::Conflict
        }
    }
}

impl Ledger {
    /// Applies the record at the next offset. Offsets that were applied before have no effect.
    ///
    /// An offset after the next one returns [`Effect::Missing`] and changes nothing: a ledger that
    /// skipped a record would differ from all others.
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Effect {
        if offset <= self.offset {
            return Effect::Duplicate;
        }
        if offset != self.offset.next() {
            return Effect::Missing;
        }
        self.offset = offset;
        // A late copy of an operator's change must not undo a change that followed the first copy.
        let effect = match self.archive.decision(entry.id) {
            Some(_) => Effect::Duplicate,
            None => self.change(offset, entry),
        };
        self.archive
            .add(offset, entry, effect, self.version, &self.table);
        let seed = xxh3_64_with_seed(&offset.0.to_le_bytes(), self.hash);
        let seed = xxh3_64_with_seed(&entry.id.0.to_le_bytes(), seed);
        self.hash = xxh3_64_with_seed(&[effect as u8], seed);
        effect
    }

    fn change(&mut self, offset: Offset, entry: &Entry) -> Effect {
        match &entry.record {
            Record::Table { base, table } => self.replace_table(offset, entry.id, *base, table),
            // A change refused as invalid could take effect through a repeated copy once a later
            // table contains the name, so a change written before the current table is refused.
            Record::DataCentre { name, state, after } => {
                if self.table_offset > *after {
                    return Effect::Conflict;
                }
                if !self.table.data_centres.contains_key(name) {
                    return Effect::Invalid;
                }
                set_state(&mut self.data_centres, name, *state, *after, offset)
            }
            Record::Host { name, state, after } => {
                set_state(&mut self.hosts, name, *state, *after, offset)
            }
            Record::Target { name, state, after } => {
                if self.table_offset > *after {
                    return Effect::Conflict;
                }
                if self.table.target(name).is_none() {
                    return Effect::Invalid;
                }
                set_state(&mut self.targets, name, *state, *after, offset)
            }
            Record::Started {
                process,
                address,
                data_centre,
                after,
            } => {
                let peer = Peer {
                    process: process.clone(),
                    address: *address,
                    data_centre: data_centre.clone(),
                    offset,
                };
                self.start(peer, *after)
            }
            Record::Lost { process } => match self.lost.insert(process.clone()) {
                true => Effect::Applied,
                false => Effect::Duplicate,
            },
            Record::Claim {
                holder,
                targets,
                standbys,
            } => self.claim(offset, holder, targets, standbys),
            Record::Standbys {
                targets,
                standbys,
                after,
            } => self.replace_standbys(offset, targets, standbys, *after),
            Record::Release { targets } => self.release(targets),
            Record::Move {
                service,
                from,
                epoch,
                shares,
                after,
            } => {
                if !self.try_mark_changed(offset, from, *epoch, *after) {
                    return Effect::Conflict;
                }
                self.move_shares(service, from, shares)
            }
            Record::Intent {
                target,
                epoch,
                requests,
            } => self.add_intents(offset, target, *epoch, requests),
            Record::Withdraw { requests } => self.withdraw(requests),
            Record::Outcome { requests } => self.set_outcomes(requests),
            Record::Crash { target, epoch, .. } => {
                Effect::from_change(self.is_current(target, *epoch))
            }
            Record::Quarantine {
                fingerprint,
                barred,
            } => self.set_quarantine(offset, *fingerprint, *barred),
            Record::Forget { before } => {
                self.requests.retain(|_, intent| intent.offset >= *before);
                Effect::Applied
            }
            Record::Snapshot { .. } | Record::Resumed { .. } => Effect::Applied,
        }
    }

    fn replace_table(
        &mut self,
        offset: Offset,
        id: record::Id,
        base: Version,
        table: &Table,
    ) -> Effect {
        if id == self.table_entry {
            return Effect::Duplicate;
        }
        if base != self.version {
            return Effect::Conflict;
        }
        let changes_slices = |(name, row): (&name::Service, &Service)| {
            let current = self.assignments.get(name);
            current.is_some_and(|a| a.slices.len() != row.slices as usize)
        };
        if table.services.iter().any(changes_slices) {
            return Effect::Invalid;
        }
        self.version.0 += 1;
        self.table = table.clone();
        self.table_entry = id;
        self.table_offset = offset;
        for (name, row) in &table.services {
            self.assignments.entry(name.clone()).or_insert_with(|| {
                let weights = row.targets.iter().map(|(t, r)| (t.clone(), r.weight));
                Assignment {
                    slices: placement::distribute(row.slices, &weights.collect()),
                    keys: BTreeMap::new(),
                }
            });
        }
        Effect::Applied
    }

    fn start(&mut self, peer: Peer, after: Offset) -> Effect {
        let host = peer.process.host.clone();
        if self.lost.contains(&peer.process) {
            return Effect::Conflict;
        }
        if let Some(earlier) = self.processes.get(&host) {
            if earlier.process == peer.process {
                return Effect::Duplicate;
            }
            // A late record of a process that has ended would declare its running successor lost.
            if earlier.offset > after {
                return Effect::Conflict;
            }
            if earlier.address == peer.address {
                self.lost.insert(earlier.process.clone());
            }
        }
        self.processes.insert(host, peer);
        Effect::Applied
    }

    fn claim(
        &mut self,
        offset: Offset,
        holder: &Process,
        targets: &[(name::Target, Option<Epoch>)],
        standbys: &[Process],
    ) -> Effect {
        let mut changed = false;
        for (target, previous) in targets {
            let current = self.contracts.get(target);
            if current.map(|c| c.epoch) != *previous {
                continue;
            }
            let lost = current.is_some_and(|c| self.lost.contains(&c.holder));
            let contract = Contract {
                epoch: Epoch(offset.0),
                holder: holder.clone(),
                standbys: standbys.to_vec(),
                wait: contract::wait(current, holder, lost),
                confirmed: false,
                released: None,
                changed: offset,
            };
            self.contracts.insert(target.clone(), contract);
            changed = true;
        }
        Effect::from_change(changed)
    }

    /// Returns whether a holder's record may change its contract, and if so stores the record's
    /// offset in `changed`.
    ///
    /// Each record is used at most once, whatever its effect: a repeated copy could otherwise undo
    /// a later change, or succeed after its writer has read that the first copy was refused.
    fn try_mark_changed(
        &mut self,
        offset: Offset,
        target: &name::Target,
        epoch: Epoch,
        after: Offset,
    ) -> bool {
        let contract = self.contracts.get_mut(target);
        let current = contract
            .filter(|c| c.epoch == epoch && c.released.is_none() && c.changed <= after)
            .map(|c| c.changed = offset);
        current.is_some()
    }

    fn replace_standbys(
        &mut self,
        offset: Offset,
        targets: &[(name::Target, Epoch)],
        standbys: &[Process],
        after: Offset,
    ) -> Effect {
        let mut changed = false;
        for (target, epoch) in targets {
            if !self.try_mark_changed(offset, target, *epoch, after) {
                continue;
            }
            if let Some(contract) = self.contracts.get_mut(target) {
                contract.standbys = standbys.to_vec();
                contract.confirmed = true;
                changed = true;
            }
        }
        Effect::from_change(changed)
    }

    fn release(&mut self, targets: &[(name::Target, Epoch, u32)]) -> Effect {
        let mut changed = false;
        for (target, epoch, running) in targets {
            if let Some(contract) = self.contracts.get_mut(target)
                && contract.epoch == *epoch
                && contract.released.is_none()
            {
                contract.released = Some(*running);
                changed = true;
            }
        }
        Effect::from_change(changed)
    }

    fn move_shares(
        &mut self,
        service: &name::Service,
        from: &name::Target,
        shares: &[(Share, name::Target)],
    ) -> Effect {
        let Some(row) = self.table.services.get(service) else {
            return Effect::Invalid;
        };
        let Some(assignment) = self.assignments.get_mut(service) else {
            return Effect::Invalid;
        };
        let mut changed = false;
        for (share, to) in shares {
            let known = row.targets.contains_key(to);
            changed |= known && assignment.move_share(*share, from, to);
        }
        Effect::from_change(changed)
    }

    fn add_intents(
        &mut self,
        offset: Offset,
        target: &name::Target,
        epoch: Epoch,
        requests: &[request::Id],
    ) -> Effect {
        if !self.is_current(target, epoch) {
            return Effect::Conflict;
        }
        let mut changed = false;
        for request in requests {
            self.requests.entry(*request).or_insert_with(|| {
                changed = true;
                Intent {
                    offset,
                    epoch,
                    status: None,
                }
            });
        }
        Effect::from_change(changed)
    }

    fn withdraw(&mut self, requests: &[(request::Id, Offset)]) -> Effect {
        let mut changed = false;
        for (request, offset) in requests {
            let intent = self.requests.get(request);
            if intent.is_some_and(|i| i.offset == *offset && i.status.is_none()) {
                self.requests.remove(request);
                changed = true;
            }
        }
        Effect::from_change(changed)
    }

    fn set_outcomes(&mut self, requests: &[(request::Id, u16)]) -> Effect {
        let mut changed = false;
        for (request, status) in requests {
            if let Some(intent) = self.requests.get_mut(request)
                && intent.status.is_none()
            {
                intent.status = Some(*status);
                changed = true;
            }
        }
        Effect::from_change(changed)
    }

    fn set_quarantine(
        &mut self,
        offset: Offset,
        fingerprint: request::Fingerprint,
        is_quarantined: bool,
    ) -> Effect {
        let changed = match is_quarantined {
            true => self.quarantine.insert(fingerprint, offset).is_none(),
            false => self.quarantine.remove(&fingerprint).is_some(),
        };
        if changed {
            Effect::Applied
        } else {
            Effect::Duplicate
        }
    }

    /// Returns whether a target's contract has this epoch and has not been released.
    pub fn is_current(&self, target: &name::Target, epoch: Epoch) -> bool {
        let contract = self.contracts.get(target);
        contract.is_some_and(|c| c.epoch == epoch && c.released.is_none())
    }

    /// Returns the owner of a key.
    pub fn owner(&self, service: &name::Service, key: key::Digest) -> Option<&name::Target> {
        self.assignments.get(service)?.owner(key)
    }

    /// Returns whether a target is in the table, and neither it nor its data centre is taken out of
    /// service.
    pub fn is_in_service(&self, target: &name::Target) -> bool {
        let row = self.table.target(target);
        row.is_some_and(|(_, _, row)| {
            state(&self.targets, target) == State::In
                && state(&self.data_centres, &row.data_centre) == State::In
        })
    }

    /// Returns the offset of the last applied record.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the hash of all applied records and their effects.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the version of the table.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the identifier of the entry that wrote the current table.
    pub fn table_entry(&self) -> record::Id {
        self.table_entry
    }

    /// Returns all contracts by target.
    pub fn contracts(&self) -> &BTreeMap<name::Target, Contract> {
        &self.contracts
    }

    /// Returns the owners of all services' keys.
    pub fn assignments(&self) -> &BTreeMap<name::Service, Assignment> {
        &self.assignments
    }

    /// Returns the latest process of each host.
    pub fn processes(&self) -> &BTreeMap<name::Host, Peer> {
        &self.processes
    }

    /// Returns the processes that are declared to have ended.
    pub fn lost(&self) -> &BTreeSet<Process> {
        &self.lost
    }

    /// Returns the state that operators set for a host.
    pub fn host(&self, host: &name::Host) -> State {
        state(&self.hosts, host)
    }

    /// Returns the state that operators set for a target.
    pub fn target(&self, target: &name::Target) -> State {
        state(&self.targets, target)
    }

    /// Returns the state that operators set for a data centre.
    pub fn data_centre(&self, name: &name::DataCentre) -> State {
        state(&self.data_centres, name)
    }

    /// Returns the intent of a request.
    pub fn intent(&self, request: &request::Id) -> Option<&Intent> {
        self.requests.get(request)
    }

    /// Returns the latest records that concern operators and the table's versions.
    pub fn archive(&self) -> &Archive {
        &self.archive
    }

    /// Returns the quarantined fingerprints, each with the offset of its [`Record::Quarantine`].
    pub fn quarantine(&self) -> &BTreeMap<request::Fingerprint, Offset> {
        &self.quarantine
    }
}

fn state<T: Ord>(overrides: &BTreeMap<T, Override>, name: &T) -> State {
    overrides.get(name).map(|set| set.state).unwrap_or_default()
}

fn set_state<T: Clone + Ord>(
    overrides: &mut BTreeMap<T, Override>,
    name: &T,
    state: State,
    after: Offset,
    offset: Offset,
) -> Effect {
    let current = overrides.get(name);
    if current.is_some_and(|set| set.offset > after) {
        return Effect::Conflict;
    }
    if current.map(|set| set.state).unwrap_or_default() == state {
        return Effect::Duplicate;
    }
    overrides.insert(name.clone(), Override { state, offset });
    Effect::Applied
}
