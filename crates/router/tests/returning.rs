//! Keys that return to a target before an earlier move of them has ended, while targets answer late or
//! carry orders out after newer ones.

mod simulation;

use ragwortrill_core::time::Span;
use ragwortrill_router::leader::{Operation, Order};
use simulation::{Fate, Simulation, registration};

fn is_grant_to(order: &Order, id: &str) -> bool {
    order.target.id.as_str() == id && order.operation != Operation::Release
}

/// Returns a simulation in which keys of `a` moved to `b`, which got no grant, and return to `a`, which has
/// not answered the release.
fn return_to_a() -> Simulation {
    let mut sim = Simulation::new(&["a", "b"]);
    sim.run(Span::from_secs(3));
    sim.fate = Box::new(|order| match order.operation {
        Operation::Release => Fate::Lost,
        _ => Fate::Answered,
    });
    sim.drain("a");
    sim.step();
    sim.step();
    sim.register(registration("a", 1));
    sim.drain("b");
    sim.step();
    sim
}

/// Lets the keys of `a` move on to `c`.
fn move_on_to_c(sim: &mut Simulation) {
    sim.register(registration("c", 1));
    sim.drain("a");
    // Every grant is checked against those that other targets have or had.
    sim.run(Span::from_secs(20));
    assert!(sim.is_settled());
    assert_eq!(sim.owners(), ["c"]);
}

/// Guards against a grant after the release of an earlier grant of the same target alone: the answer to
/// the release with the lower epoch cleared both, and a late grant with an epoch between them was carried
/// out (OWNER on late-grants-crashes.toml, cnu-pasarela, seed 4: epochs 5081 and 6045).
#[test]
fn release_of_an_earlier_grant_does_not_clear_the_later_one() {
    let mut sim = return_to_a();
    sim.fate = Box::new(|order| match is_grant_to(order, "a") {
        true => Fate::Late(Span::from_millis(1_500)),
        false => Fate::Answered,
    });
    for _ in 0..3 {
        sim.step();
    }
    assert!(sim.late.iter().any(|(.., order)| is_grant_to(order, "a")));
    move_on_to_c(&mut sim);
}
