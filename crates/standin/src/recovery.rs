//! Measures in virtual time how long keys have no service after a fault.

mod fault;
mod outcome;
mod report;

use ragwortrill_core::time::{Instant, Span};

use crate::world::{Builder, Policy, World};

pub use fault::Fault;
pub use outcome::Outcome;
pub use report::{Row, json, table};

/// Policies to compare, with their names in reports. The core is the first.
pub const POLICIES: [(&str, Policy); 3] = [
    ("core", Policy::Core),
    ("log lease only", Policy::LogOnly),
    ("static hashing", Policy::Hashing),
];

/// Time between the start of the daemons and that of the callers. Daemons that started later take
/// over their share of the contracts at about one per second.
const SETTLE_TIME: Span = Span::from_secs(20);
/// Minimum time between the first requests and the fault; the seed adds up to half a second.
const LOAD_BEFORE_FAULT: Span = Span::from_secs(1);
/// Interval between lookups of the same key.
pub(crate) const LOOKUP_INTERVAL: Span = Span::from_millis(50);
/// Interval between orders.
const ORDER_INTERVAL: Span = Span::from_millis(200);
/// Number of keys looked up: about two per target.
const KEY_COUNT: u64 = 12;

/// Simulates a fault and returns its effect on callers.
pub fn run(fault: Fault, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(Builder::default().policy(policy), seed);
    world.run(SETTLE_TIME);
    let start = world.now();
    let at = start + LOAD_BEFORE_FAULT + Span::from_millis(seed.wrapping_mul(0x9e37_79b9) % 500);
    let end = at + fault.observation_time();
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
    for key in 0..KEY_COUNT {
        world.call("lookup", key);
    }
    if world.now() + LOOKUP_INTERVAL < end {
        world.schedule(LOOKUP_INTERVAL, move |world| look_up(world, end));
    }
}

fn order(world: &mut World, end: Instant) {
    world.call("order", world.now().0);
    if world.now() + ORDER_INTERVAL < end {
        world.schedule(ORDER_INTERVAL, move |world| order(world, end));
    }
}
