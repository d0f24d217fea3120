//! All schedules of a few events up to a length, in breadth-first order.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use pathfinding::directed::bfs::bfs_reach;
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    Counterexample,
    event::{Event, Fate, Services, Step, Write},
    setting,
    world::{Rule, World},
};

/// Longest schedule.
const DEFAULT_DEPTH: usize = 4;
/// Time between two events: the timeout of an order, and the time until the next one.
const PAUSE_MS: u64 = 800;
const EVENTS: [Event; 14] = [
    Event::Drain(0),
    Event::Serve(0),
    Event::Drain(1),
    Event::Serve(1),
    Event::Restart(0),
    Event::Replace(0),
    Event::End(1),
    Event::Orders(0, Fate::Answered),
    Event::Orders(0, Fate::PendingGrants),
    Event::Orders(1, Fate::Pending),
    Event::CarryOut(0, true),
    Event::Writes(Write::Late),
    Event::Execute,
    Event::NewLeader,
];

/// A state of the search, identified by the world's contents.
#[derive(Clone)]
struct State {
    digest: u128,
    world: Rc<World>,
    steps: Vec<Step>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl State {
    fn new(world: World, steps: Vec<Step>) -> Self {
        let text = format!("{world:?}");
        Self {
            digest: xxh3_128(text.as_bytes()),
            world: Rc::new(world),
            steps,
        }
    }

    fn successors(&self, depth: usize) -> Vec<Self> {
        if self.steps.len() == depth || self.world.violation.is_some() {
            return Vec::new();
        }
        let successor = |event: Event| {
            let step = Step {
                event,
                pause_ms: PAUSE_MS,
            };
            let mut world = (*self.world).clone();
            world.step(step);
            Self::new(world, [&self.steps[..], &[step]].concat())
        };
        EVENTS.into_iter().map(successor).collect()
    }
}

/// Guards against a short schedule in which two targets get a key. Recovery is left to the drawn
/// schedules.
#[test]
fn all_short_schedules_keep_the_invariants() {
    let depth = setting("RAGWORTRILL_DEPTH").unwrap_or(DEFAULT_DEPTH);
    let start = State::new(World::new(Rule::None, Services::One), Vec::new());
    let (mut states, mut transitions) = (0, 0);
    let successors = |state: &State| {
        let successors = state.successors(depth);
        transitions += successors.len();
        successors
    };
    for state in bfs_reach(start, successors) {
        states += 1;
        if let Some(violation) = state.world.violation.clone() {
            let steps = state.steps;
            panic!(
                "{}",
                Counterexample {
                    services: Services::One,
                    steps,
                    violation
                }
            );
        }
    }
    println!("depth {depth}: {states} states, {transitions} transitions");
}
