//! Invariants of every state.

use super::{state::State, world::World};

/// Names of the invariants, as printed. The last five are checked at each append or read.
pub(crate) const ALL: [&str; 9] = [
    "at most one process sends to a target",
    "at most one process serves a slice",
    "a non-idempotent request runs at most once",
    "a request refused as not run is never sent",
    "intents are the current holder's",
    "versions and epochs never decrease, contracts are never lost",
    "assignments change only by their holder's move",
    "accepted operator changes are not undone by late or repeated records",
    "equal offsets have equal ledgers and hashes",
];

/// Returns what a state violates.
pub(crate) fn violation(world: &World, state: &State) -> Option<&'static str> {
    let faults = state.daemons.iter().find_map(|daemon| daemon.fault);
    let targets = 0..world.bounds.targets;
    let slices = 0..2;
    let sends = |target: usize| {
        let daemons = state.daemons.iter();
        let sends = daemons.filter(|d| !d.sends(world, target, state.clock(d.index)).is_empty());
        sends.count() > 1
    };
    let serves = |slice: usize| {
        let daemons = state.daemons.iter();
        let serves = daemons.filter(|d| d.serves(world, slice, state.clock(d.index)).is_some());
        serves.count() > 1
    };
    if targets.into_iter().any(sends) {
        return Some("two processes may send to one target");
    }
    if slices.into_iter().any(serves) {
        return Some("two processes serve one slice");
    }
    if state.runs.iter().any(|runs| *runs > 1) {
        return Some("a non-idempotent request ran twice");
    }
    state.fault.or(state.head.fault).or(faults)
}
