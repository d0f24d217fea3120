//! Comparison of this process's shared state with that of its peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{number::Offset, process::Process};

/// Offsets whose hash is kept. A peer that is further behind is compared once it has caught up.
const MAX_HASHES: usize = 4_096;

/// State hashes of this process and of its peers.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    hashes: VecDeque<(Offset, u64)>,
    shown: BTreeMap<Process, (Offset, u64)>,
    differing: BTreeSet<Process>,
}

impl Agreement {
    /// Notes the own hash after the record at an offset.
    pub(crate) fn apply(&mut self, offset: Offset, hash: u64) {
        self.hashes.push_back((offset, hash));
        if self.hashes.len() > MAX_HASHES {
            self.hashes.pop_front();
        }
        let shown = self.shown.iter();
        let differing = shown.filter(|(_, (at, other))| *at == offset && *other != hash);
        self.differing.extend(differing.map(|(p, _)| p.clone()));
    }

    /// Notes the offset and hash in a peer's heartbeat.
    pub(crate) fn show(&mut self, peer: &Process, offset: Offset, hash: u64) {
        self.shown.insert(peer.clone(), (offset, hash));
        let Some(own) = self.own(offset) else {
            return;
        };
        if own == hash {
            self.differing.remove(peer);
        } else {
            self.differing.insert(peer.clone());
        }
    }

    fn own(&self, offset: Offset) -> Option<u64> {
        let index = self.hashes.binary_search_by_key(&offset, |(at, _)| *at);
        Some(self.hashes[index.ok()?].1)
    }

    /// Forgets the own hashes, because the state was replaced.
    pub(crate) fn restart(&mut self) {
        self.hashes.clear();
        self.differing.clear();
    }

    /// Drops peers that are no longer of interest.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Process) -> bool) {
        self.shown.retain(|process, _| keep(process));
        self.differing.retain(|process| keep(process));
    }

    /// Returns the offset in the latest heartbeat of a peer.
    pub fn offset(&self, peer: &Process) -> Option<Offset> {
        self.shown.get(peer).map(|(offset, _)| *offset)
    }

    /// Returns the peers whose state differs from this process's at the same offset.
    pub fn differing(&self) -> &BTreeSet<Process> {
        &self.differing
    }
}
