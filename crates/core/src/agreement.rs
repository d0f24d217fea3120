//! Comparison of this process's shared state with that of its peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{number::Offset, process::Process};

/// Number of latest offsets whose hash is kept. A peer that is further behind is compared once it
/// has caught up.
const MAX_HASHES: usize = 4_096;

/// Ledger hashes of this process and of its peers.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    hashes: VecDeque<(Offset, u64)>,
    peer_hashes: BTreeMap<Process, (Offset, u64)>,
    differing: BTreeSet<Process>,
}

impl Agreement {
    /// Stores this process's hash after the record at an offset, and compares peers at that offset.
    pub(crate) fn set_own(&mut self, offset: Offset, hash: u64) {
        self.hashes.push_back((offset, hash));
        if self.hashes.len() > MAX_HASHES {
            self.hashes.pop_front();
        }
        let peer_hashes = self.peer_hashes.iter();
        let differing = peer_hashes.filter(|(_, (at, other))| *at == offset && *other != hash);
        self.differing.extend(differing.map(|(p, _)| p.clone()));
    }

    /// Stores the offset and hash in a peer's heartbeat, and compares them with this process's.
    pub(crate) fn set_peer(&mut self, peer: &Process, offset: Offset, hash: u64) {
        self.peer_hashes.insert(peer.clone(), (offset, hash));
        let Some(own) = self.own_hash(offset) else {
            return;
        };
        if own == hash {
            self.differing.remove(peer);
        } else {
            self.differing.insert(peer.clone());
        }
    }

    fn own_hash(&self, offset: Offset) -> Option<u64> {
        let index = self.hashes.binary_search_by_key(&offset, |(at, _)| *at);
        Some(self.hashes[index.ok()?].1)
    }

    /// Drops this process's hashes, because its ledger was replaced.
    pub(crate) fn reset(&mut self) {
        self.hashes.clear();
        self.differing.clear();
    }

    /// Drops the peers that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Process) -> bool) {
        self.peer_hashes.retain(|process, _| keep(process));
        self.differing.retain(|process| keep(process));
    }

    /// Returns the offset in the latest heartbeat of a peer.
    pub fn offset(&self, peer: &Process) -> Option<Offset> {
        self.peer_hashes.get(peer).map(|(offset, _)| *offset)
    }

    /// Returns the peers whose ledger differed from this process's at the same offset.
    pub fn differing(&self) -> &BTreeSet<Process> {
        &self.differing
    }
}
