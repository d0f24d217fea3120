//! Bounded configurations of the model.

use std::fmt;

/// Numbers of faults and submissions that remain in a run.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Budget {
    /// Claims by any process.
    pub(crate) claims: u8,
    /// Changes of standbys.
    pub(crate) renames: u8,
    /// Releases.
    pub(crate) releases: u8,
    /// Slice moves.
    pub(crate) moves: u8,
    /// Appends that take effect once more later.
    pub(crate) repeats: u8,
    /// Process losses, each with a restart of the host.
    pub(crate) crashes: u8,
    /// Operators' assertions that a process has ended.
    pub(crate) assertions: u8,
    /// Table changes.
    pub(crate) tables: u8,
    /// Changes of a data centre's state.
    pub(crate) states: u8,
}

/// A record from before the start of a run that is still in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Late {
    /// No record.
    Nothing,
    /// A second copy of a change of standbys that has since been reverted.
    Standbys,
    /// A second copy of a move that has since been reverted.
    Move,
    /// The start record of an earlier process of the holder's host.
    Started,
}

/// Bounds of one configuration.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// Name that is printed.
    pub(crate) name: &'static str,
    /// Candidates; the first one is the holder at the start.
    pub(crate) candidates: usize,
    /// True if a process that is no standby takes part.
    pub(crate) outsider: bool,
    /// Targets under contract. The second candidate holds the second one if slices move.
    pub(crate) targets: usize,
    /// Ids of non-idempotent requests.
    pub(crate) requests: usize,
    /// Length of a run in ticks.
    pub(crate) ticks: u8,
    /// Maximum length of a trace. States at this depth are checked but not expanded.
    pub(crate) depth: u16,
    /// True if the first target has a holder at the start.
    pub(crate) is_claimed: bool,
    /// Processes that may claim.
    pub(crate) claimers: &'static [usize],
    /// Processes that may change standbys.
    pub(crate) renamers: &'static [usize],
    /// Processes that may crash.
    pub(crate) crashers: &'static [usize],
    /// True if holders send heartbeats.
    pub(crate) heartbeats: bool,
    /// True if answers to reads may be delayed.
    pub(crate) late_reads: bool,
    /// True if promises may be delayed.
    pub(crate) late_promises: bool,
    /// Clock rates of the processes, one list for each choice.
    pub(crate) rates: &'static [&'static [u8]],
    /// Faults and submissions that a run may have.
    pub(crate) budget: Budget,
    /// Record that is in flight at the start.
    pub(crate) late: Late,
}

pub(crate) const NONE: Budget = Budget {
    claims: 0,
    renames: 0,
    releases: 0,
    moves: 0,
    repeats: 0,
    crashes: 0,
    assertions: 0,
    tables: 0,
    states: 0,
};

pub(crate) const BASE: Bounds = Bounds {
    name: "",
    candidates: 2,
    outsider: false,
    targets: 1,
    requests: 0,
    ticks: 4,
    depth: u16::MAX,
    is_claimed: true,
    claimers: &[0, 1, 2],
    renamers: &[0, 1, 2],
    crashers: &[0, 1, 2],
    heartbeats: true,
    late_reads: false,
    late_promises: false,
    rates: &[&[1, 2, 2, 2]],
    budget: NONE,
    late: Late::Nothing,
};

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let budget = &self.budget;
        let outsider = if self.outsider { " + outsider" } else { "" };
        write!(
            f,
            "{} candidates{outsider}, {} targets, {} request ids, {} ticks, depth {}, rates {:?}, ",
            self.candidates, self.targets, self.requests, self.ticks, self.depth, self.rates
        )?;
        write!(
            f,
            "claimers {:?}, renamers {:?}, crashers {:?}, heartbeats {}, claimed at start {}, ",
            self.claimers, self.renamers, self.crashers, self.heartbeats, self.is_claimed
        )?;
        write!(
            f,
            "late reads {}, late promises {}, late at start {:?}, claims {}, renames {}, releases {}, moves {}, \
             repeated appends {}, crashes {}, lost assertions {}, table changes {}, states {}",
            self.late_reads,
            self.late_promises,
            self.late,
            budget.claims,
            budget.renames,
            budget.releases,
            budget.moves,
            budget.repeats,
            budget.crashes,
            budget.assertions,
            budget.tables,
            budget.states
        )
    }
}
