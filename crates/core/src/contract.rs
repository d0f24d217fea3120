//! Contracts: which process may act on a target.

use serde::{Deserialize, Serialize};

use crate::{
    number::{Epoch, Offset},
    process::Process,
    time::Span,
    times::Times,
};

/// Exclusive right of one process to send requests to a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Contract {
    /// Offset of the claim; the fencing token.
    pub epoch: Epoch,
    /// Process that may act on the target.
    pub holder: Process,
    /// Processes that may take over after a short wait.
    pub standbys: Vec<Process>,
    /// How long the holder waits after the claim before it acts.
    pub wait: Wait,
    /// True once the holder has written a record after its wait.
    pub confirmed: bool,
    /// Requests that ran at the target when its holder released the contract, if it did.
    pub released: Option<u32>,
    /// Offset of the claim or of the holder's latest record that changed standbys or moved keys.
    pub changed: Offset,
}

/// How long a new holder waits before it acts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Wait {
    /// The earlier holder released the contract, or there was none.
    None,
    /// The claimer was a standby and gives no more promises, or the earlier holder is declared
    /// lost: its lease ends within the time of one lease.
    Short,
    /// The claimer was no standby: the earlier holder may act on its standbys' promises for up to
    /// the outsider's wait.
    Long,
}

impl Wait {
    /// Returns the length of the wait on the waiting process's clock.
    pub fn span(self, times: &Times) -> Span {
        match self {
            Self::None => Span::ZERO,
            Self::Short => times.short_wait(),
            Self::Long => times.outsider_wait,
        }
    }
}

/// Computes the wait of a claim that replaces `previous`.
///
/// The wait of a contract that its holder never confirmed is inherited: the holder before that one
/// may still act.
pub fn wait(previous: Option<&Contract>, claimer: &Process, holder_lost: bool) -> Wait {
    let Some(previous) = previous else {
        return Wait::None;
    };
    let class = if previous.released.is_some() {
        Wait::None
    } else if holder_lost || previous.standbys.contains(claimer) {
        Wait::Short
    } else {
        Wait::Long
    };
    let inherited = match previous.confirmed {
        true => Wait::None,
        false => previous.wait,
    };
    class.max(inherited)
}
