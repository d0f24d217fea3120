//! Breadth-first search over the states of a configuration.

use std::{
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
    time::{Duration, Instant},
};

use pathfinding::prelude::{bfs, bfs_reach};

use super::{
    action::Action, bounds::Bounds, invariant::violation, rule::Rule, state::State, world::World,
};

/// Result of exploring one configuration.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) bounds: Bounds,
    pub(crate) states: usize,
    pub(crate) depth: u16,
    pub(crate) elapsed: Duration,
    /// The violated invariant and the steps to it, if any.
    pub(crate) violation: Option<(&'static str, Vec<String>)>,
}

/// A state that is compared by its hash.
#[derive(Clone)]
struct Point {
    key: u128,
    state: Rc<State>,
}

impl PartialEq for Point {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for Point {}

impl Hash for Point {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u64(self.key as u64);
    }
}

impl Point {
    fn new(state: State) -> Self {
        Self {
            key: state.key(),
            state: Rc::new(state),
        }
    }

    fn next(&self, world: &World) -> Vec<Self> {
        let actions = self.state.actions(world);
        let states = actions.iter().filter_map(|a| self.state.after(world, *a));
        states.map(Self::new).collect()
    }
}

/// Explores a configuration. If an invariant is violated, searches for a shortest trace to it.
pub(crate) fn run(bounds: Bounds, without: Option<Rule>) -> Report {
    let start = Instant::now();
    let world = World::new(bounds, without);
    let first = Point::new(State::new(&world));
    let (mut states, mut depth, mut found) = (0, 0, None);
    for point in bfs_reach(first.clone(), |point| point.next(&world)) {
        states += 1;
        depth = point.state.depth;
        found = violation(&world, &point.state);
        if found.is_some() {
            break;
        }
    }
    let violation = found.map(|text| (text, trace(&world, first)));
    Report {
        bounds: world.bounds,
        states,
        depth,
        elapsed: start.elapsed(),
        violation,
    }
}

fn trace(world: &World, first: Point) -> Vec<String> {
    let next = |point: &Point| point.next(world);
    let path = bfs(&first, next, |point| {
        violation(world, &point.state).is_some()
    });
    let path = path.unwrap_or_default();
    let steps = path
        .windows(2)
        .filter_map(|pair| step(world, &pair[0], &pair[1]));
    steps.collect()
}

fn step(world: &World, from: &Point, to: &Point) -> Option<String> {
    let actions = from.state.actions(world);
    let leads = |action: &Action| {
        let after = from.state.after(world, *action);
        after.is_some_and(|state| state.key() == to.key)
    };
    let action = actions.into_iter().find(leads)?;
    let clocks: Vec<u64> = (0..world.processes())
        .map(|p| to.state.clock(p).0)
        .collect();
    let head = &to.state.head;
    let log = format!("log {} ({:?})", head.offset, head.entry.record);
    let log = log.chars().take(160).collect::<String>();
    let senders = (0..world.bounds.targets).map(|target| {
        let daemons = to.state.daemons.iter();
        let sends = daemons.filter(|d| !d.sends(world, target, to.state.clock(d.index)).is_empty());
        let names: Vec<String> = sends.map(|d| d.process().to_string()).collect();
        format!("{}: {}", world.targets[target], names.join(" "))
    });
    let senders: Vec<String> = senders.collect();
    let senders = senders.join(", ");
    Some(format!(
        "{action:?}; clocks {clocks:?}; may send {senders}; {log}"
    ))
}

impl Report {
    fn coverage(&self) -> &'static str {
        match (&self.violation, self.depth < self.bounds.depth) {
            (Some(_), _) => "stopped at a violation",
            (None, true) => "all states",
            (None, false) => "all states up to this depth",
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (states, depth, elapsed) = (self.states, self.depth, self.elapsed);
        let coverage = self.coverage();
        let Self { bounds, .. } = self;
        writeln!(
            f,
            "{}: {states} states, depth {depth} ({coverage}), {elapsed:.1?}",
            bounds.name
        )?;
        write!(f, "  bounds: {bounds}")?;
        if let Some((text, steps)) = &self.violation {
            write!(f, "\n  VIOLATION: {text}")?;
            for (number, step) in steps.iter().enumerate() {
                write!(f, "\n  {:3} {step}", number + 1)?;
            }
        }
        Ok(())
    }
}
