//! Keys that return to a target before an earlier move of them has ended, while targets answer late or
//! carry orders out after newer ones.

mod simulation;

use ragwortrill_core::time::Span;
use ragwortrill_router::{
    assignment::{PreviousOwner, Range, State},
    leader::{Action, Operation, Order, Response},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use simulation::{Fate, Simulation, registration};

/// Targets of the runs with drawn events.
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
/// Time between two drawn events.
const EVENT_INTERVAL: Span = Span::from_millis(100);
/// Number of drawn events of a run.
const EVENTS: u32 = 250;
/// Number of runs with drawn events.
const SEEDS: u64 = 40;
/// Longest time after which a late order is carried out.
const MAX_DELAY_MS: u64 = 3_500;

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

/// Guards against a late grant that is carried out since only an earlier one was released.
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

/// Guards against an owner that is not released since its latest grant, but not its first, was never sent.
#[test]
fn earlier_grant_of_the_latest_owner_is_released() {
    let mut sim = return_to_a();
    sim.step();
    sim.fate = Box::new(|_| Fate::Answered);
    move_on_to_c(&mut sim);
}

/// Guards against a new leader that sends one release to a target which the log lists twice.
#[test]
fn each_release_of_a_target_that_is_listed_twice_is_sent() {
    let mut sim = Simulation::new(&["a", "b"]);
    let owner = |id| registration(id, 1).incarnation;
    let previous = |fence| PreviousOwner {
        target: owner("a"),
        fence,
    };
    sim.durable.upsert(Range {
        first: 0,
        last: u16::MAX,
        epoch: 20,
        owner: owner("b"),
        state: State::Moving(vec![previous(10), previous(19)]),
    });
    sim.replace_leader(Span::from_secs(3));
    sim.run(Span::from_secs(1));
    let sent = sim.orders.iter().map(|order| order.fence);
    let first: Vec<u64> = sent.take(3).collect();
    assert_eq!(first, [10, 19, 20]);
}

/// Guards against keys without an owner for as long as the leader alone has lost its link to a target that
/// drains: the release can't reach it, and its grants have expired.
#[test]
fn keys_of_a_draining_target_move_although_the_leaders_link_to_it_is_lost() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.fate = Box::new(|order| match order.target.id.as_str() {
        "a" => Fate::Unreached,
        _ => Fate::Answered,
    });
    sim.drain("a");
    sim.run(Span::from_secs(20));
    assert!(sim.is_settled(), "{:?}", sim.durable);
    assert_eq!(sim.owners(), ["b", "c"]);
}

/// Guards against a renewal that reaches an owner which has released the keys and restarted meanwhile.
#[test]
fn keys_with_an_outstanding_renewal_do_not_move() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.register(registration("d", 1));
    sim.now = sim.now + Span::from_secs(2);
    let is_write = |action: &Action| matches!(action, Action::Write(_));
    let actions = sim.tick();
    assert!(!actions.iter().any(is_write), "{actions:?}");
    let mut orders = 0;
    for action in actions {
        if let Action::Send(order) = action {
            orders += 1;
            sim.leader
                .record_response(sim.now, &order, Response::Done(None));
        }
    }
    assert_eq!(orders, 3);
    assert!(sim.tick().iter().any(is_write));
}

/// Guards against a renewal of keys that are being moved away: it is under way when their owner releases
/// them, and may reach the owner's next run, which knows of no release.
#[test]
fn keys_whose_move_is_being_written_are_not_renewed() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.register(registration("d", 1));
    let mut moving = None;
    while moving.is_none() {
        sim.now = sim.now + Span::from_millis(50);
        for action in sim.tick() {
            match action {
                Action::Write(changes) => moving = Some(changes),
                Action::Send(order) => {
                    let response = sim.carry_out(&order);
                    sim.leader.record_response(sim.now, &order, response);
                }
                _ => {}
            }
        }
    }
    let moving: Vec<Range> = moving.into_iter().flatten().flat_map(|(_, r)| r).collect();
    let (moved, kept): (Vec<&Range>, _) = moving.iter().partition(|range| !range.is_held());
    assert!(!moved.is_empty() && !kept.is_empty(), "{moving:?}");
    // The write takes longer than the time until the next renewal.
    sim.now = sim.now + Span::from_secs(2);
    let mut renewed = Vec::new();
    for action in sim.tick() {
        if let Action::Send(order) = action {
            let is_moving =
                |range: &&&Range| range.first <= order.last && order.first <= range.last;
            assert!(
                !moved.iter().any(|range| is_moving(&range)),
                "{order:?} moves"
            );
            renewed.push(order.range_epoch);
        }
    }
    for range in kept {
        assert!(renewed.contains(&range.epoch), "{range:?} is not renewed");
    }
}

/// A target's state in a run with drawn events.
#[derive(Clone, Copy)]
struct Member {
    start_ms: u64,
    is_draining: bool,
}

/// Runs the simulation, with another leader as soon as one resigns.
fn run_led(sim: &mut Simulation, span: Span) {
    let end = sim.now + span;
    while sim.now < end {
        if sim.step() {
            sim.replace_leader(Span::from_secs(3));
        }
        sim.now = sim.now + Span::from_millis(50);
    }
}

/// Plays drawn events: targets drain, return, restart under their ids or answer late, the leader is
/// replaced, and writes take time.
fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::new(&TARGETS);
    sim.run(Span::from_secs(3));
    let silent_percent = random.random_range(20..70);
    let mut fates = StdRng::seed_from_u64(seed + 1);
    sim.fate = Box::new(move |_| {
        if fates.random_range(0..100) >= silent_percent {
            return Fate::Answered;
        }
        match fates.random_range(0..5) {
            0 => Fate::Lost,
            _ => Fate::Late(Span::from_millis(fates.random_range(0..MAX_DELAY_MS))),
        }
    });
    let mut members = [Member {
        start_ms: 1,
        is_draining: false,
    }; 4];
    for _ in 0..EVENTS {
        let index = random.random_range(0..TARGETS.len());
        let (id, member) = (TARGETS[index], &mut members[index]);
        match random.random_range(0..20) {
            0..8 => {
                member.is_draining = !member.is_draining;
                match member.is_draining {
                    true => sim.drain_since(id, member.start_ms),
                    false => sim.register(registration(id, member.start_ms)),
                }
            }
            8 => {
                *member = Member {
                    start_ms: member.start_ms + 1,
                    is_draining: false,
                };
                sim.restart(id, member.start_ms);
            }
            9 => {
                // A write in progress is executed before the new leader's claim, or never.
                if random.random_bool(0.5) {
                    sim.execute_writes();
                }
                sim.replace_leader(Span::from_secs(3));
            }
            10 => sim.write_time = Span::from_millis(random.random_range(0..300)),
            _ => {}
        }
        run_led(&mut sim, EVENT_INTERVAL);
    }
    sim.fate = Box::new(|_| Fate::Answered);
    for (id, member) in TARGETS.into_iter().zip(members) {
        sim.register(registration(id, member.start_ms));
    }
    run_led(&mut sim, Span::from_secs(25));
    assert!(sim.is_settled(), "seed {seed}: {:?}", sim.durable);
}

/// Guards against a target that takes keys by an epoch that is not above all by which others had them,
/// when orders are carried out late and keys return to targets before their moves have ended.
#[test]
fn late_orders_give_no_target_keys_below_the_epoch_of_another() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        play(seed);
    }
}
