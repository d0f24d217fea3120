//! Measures how long keys have no service after a fault, in virtual time.

mod fault;
mod outcome;
mod report;

use ragwortrill_core::time::{Instant, Span};

use crate::world::{Builder, Policy, World};

pub use fault::Fault;
pub use outcome::Outcome;
pub use report::{Row, json, table};

/// Policies that are compared, the core first.
pub const POLICIES: [(&str, Policy); 3] = [
    ("core", Policy::Core),
    ("log lease only", Policy::LogOnly),
    ("static hashing", Policy::Hashing),
];

/// Time in which the system settles before callers start. Daemons that started later take their
/// share of the contracts over at about one a second.
const SETTLE: Span = Span::from_secs(20);
/// Time between the first calls and the fault, to which up to half a second is added.
const BEFORE: Span = Span::from_secs(1);
/// Interval between two lookups of a key.
pub(crate) const INTERVAL: Span = Span::from_millis(50);
/// Interval between two orders.
const ORDERS: Span = Span::from_millis(200);
/// Number of keys looked up, about two for each target.
const KEYS: u64 = 12;

/// Runs a fault once.
pub fn run(fault: Fault, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(Builder::default().policy(policy), seed);
    world.run(SETTLE);
    let start = world.now();
    let at = start + BEFORE + Span::from_millis(seed.wrapping_mul(0x9e37_79b9) % 500);
    let end = at + fault.watched();
    load(&mut world, end);
    world.run_until(at);
    fault.begin(&mut world, seed);
    world.run_until(end);
    Outcome::new(&world, start, end)
}

fn load(world: &mut World, end: Instant) {
    look_up(world, end);
    order(world, end);
}

fn look_up(world: &mut World, end: Instant) {
    for key in 0..KEYS {
        world.call("lookup", key);
    }
    if world.now() + INTERVAL < end {
        world.after(INTERVAL, move |world| look_up(world, end));
    }
}

fn order(world: &mut World, end: Instant) {
    world.call("order", world.now().0);
    if world.now() + ORDERS < end {
        world.after(ORDERS, move |world| order(world, end));
    }
}
