//! Owners of the keys of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::{key, name, record::Share};

/// Owners of a service's keys.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Owner of each slice.
    pub slices: Vec<name::Target>,
    /// Owners of keys that are placed apart from their slice.
    #[serde_as(as = "Vec<(_, _)>")]
    pub keys: BTreeMap<key::Digest, name::Target>,
}

impl Assignment {
    /// Returns the owner of a key.
    pub fn owner(&self, key: key::Digest) -> Option<&name::Target> {
        if let Some(owner) = self.keys.get(&key) {
            return Some(owner);
        }
        let slice = key.slice(self.slices.len() as u32);
        self.slices.get(slice.0 as usize)
    }

    /// Moves a share from its owner. Returns false if another target owns it.
    pub(super) fn move_share(
        &mut self,
        share: Share,
        from: &name::Target,
        to: &name::Target,
    ) -> bool {
        match share {
            Share::Key(key) => {
                let owned = self.owner(key) == Some(from);
                if owned {
                    self.keys.insert(key, to.clone());
                }
                owned
            }
            Share::Merge(key) => {
                let slice = key.slice(self.slices.len() as u32);
                let home = self.slices.get(slice.0 as usize) == Some(to);
                let owned = home && self.keys.get(&key) == Some(from);
                if owned {
                    self.keys.remove(&key);
                }
                owned
            }
            Share::Slice(slice) => {
                let owner = self.slices.get_mut(slice.0 as usize);
                let owned = owner.filter(|owner| *owner == from);
                owned.map(|owner| *owner = to.clone()).is_some()
            }
        }
    }
}
