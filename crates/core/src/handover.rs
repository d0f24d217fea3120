//! A move of shares from a target to others, from the end of admission to its record.

use crate::{
    key::Digest,
    name,
    record::{self, Share},
};

/// Shares that a holder is moving away from its target.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    /// What moves, and where to.
    pub(crate) shares: Vec<(Share, name::Target)>,
    /// Identifier of the submitted record.
    pub(crate) submitted: Option<record::Id>,
}

impl Handover {
    /// Tells whether a key is on its way.
    pub(crate) fn has(&self, key: Digest, slices: u32) -> bool {
        let slice = key.slice(slices);
        self.shares.iter().any(|(share, _)| match share {
            Share::Key(moved) | Share::Merge(moved) => *moved == key,
            Share::Slice(moved) => *moved == slice,
        })
    }
}
