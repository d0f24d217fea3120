//! Grants and moves of keys, in a simulation with targets that carry out orders or don't respond.

mod simulation;

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::{
    assignment::State,
    fleet::Fleet,
    leader::{Operation, Response},
    registration::Registration,
};
use simulation::{MAX_HOLD, Simulation, registration};

/// Guards against keys that no target owns after the first assignment.
#[test]
fn first_assignment_covers_all_keys_evenly() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    assert!(sim.is_settled());
    assert_eq!(sim.owners(), ["a", "b", "c"]);
    let widths: Vec<u32> = sim
        .durable
        .ranges
        .iter()
        .map(|range| range.width())
        .collect();
    assert!(
        widths.iter().all(|width| width.abs_diff(21_845) <= 1),
        "{widths:?}"
    );
}

/// Guards against a first assignment among only the targets that register first, after which keys
/// must move to the others.
#[test]
fn first_assignment_waits_for_the_other_targets() {
    let mut sim = Simulation::new(&["a"]);
    sim.run(Span::from_millis(1_000));
    sim.register(registration("b", 1));
    sim.run(Span::from_millis(1_000));
    assert!(sim.orders.is_empty());
    sim.run(Span::from_millis(1_500));
    assert_eq!(sim.owners(), ["a", "b"]);
    assert!(
        sim.orders
            .iter()
            .all(|order| order.operation != Operation::Release)
    );
}

struct Case {
    name: &'static str,
    change: fn(&mut Simulation),
    span: Span,
    owners: &'static [&'static str],
}

/// Guards against keys that stay with a target that leaves, or that are granted to two targets
/// during a move: every grant is checked against the grants of other targets.
#[test]
fn keys_move_to_the_targets_that_stay() {
    let cases = [
        Case {
            name: "draining target releases its keys",
            change: |sim| sim.drain("a"),
            span: Span::from_secs(1),
            owners: &["b", "c"],
        },
        Case {
            name: "unresponsive target keeps its keys until its grant has expired",
            change: |sim| sim.unresponsive.push("a".to_owned()),
            span: Span::from_secs(7),
            owners: &["b", "c"],
        },
        Case {
            name: "new incarnation of a target gets keys again",
            change: |sim| {
                sim.grants.retain(|(id, _, _), _| id != "a");
                sim.register(registration("a", 2));
            },
            span: Span::from_secs(4),
            owners: &["a", "b", "c"],
        },
        Case {
            name: "added target gets a share",
            change: |sim| sim.register(registration("d", 1)),
            span: Span::from_secs(3),
            owners: &["a", "b", "c", "d"],
        },
        Case {
            name: "evacuated target returns",
            change: |sim| {
                sim.fleet.evacuate(&"north".parse().unwrap());
                sim.run(Span::from_secs(1));
                let now = sim.now;
                sim.fleet.restore(now, &"north".parse().unwrap());
            },
            span: Span::from_secs(3),
            owners: &["a", "b", "c"],
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&["a", "b", "c"]);
        sim.run(Span::from_secs(3));
        (case.change)(&mut sim);
        sim.run(case.span);
        assert!(sim.is_settled(), "{}: {:?}", case.name, sim.durable);
        assert_eq!(sim.owners(), case.owners, "{}", case.name);
    }
}

/// Guards against a new leader that sends an earlier owner an order with a lower epoch than a grant
/// that the earlier leader sent in the middle of a move.
#[test]
fn new_leader_completes_a_move_without_a_grant_to_the_earlier_owner() {
    for ticks in 1..12 {
        let mut sim = Simulation::new(&["a", "b", "c"]);
        sim.run(Span::from_secs(3));
        sim.drain("a");
        sim.run(Span::from_millis(50 * ticks));
        sim.replace_leader(Span::from_secs(3));
        let earlier = sim.orders.len();
        sim.run(Span::from_secs(2));
        assert!(sim.is_settled(), "after {ticks} ticks");
        let later = &sim.orders[earlier..];
        let granted = later
            .iter()
            .filter(|order| order.operation != Operation::Release);
        assert!(granted.clone().count() > 0);
        assert!(
            granted.clone().all(|order| order.target.id.as_str() != "a"),
            "after {ticks} ticks"
        );
    }
}

/// Guards against keys that are granted again while a grant that got no response is valid, because
/// it arrived as late as its connection allows.
#[test]
fn keys_of_a_late_grant_move_only_after_its_expiry() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.accepts_late_grants = true;
    sim.unresponsive.push("a".to_owned());
    // Every grant is checked against the grants of other targets.
    sim.run(Span::from_secs(9));
    assert!(sim.is_settled());
    assert_eq!(sim.owners(), ["b", "c"]);
}

/// Guards against a grant to a new owner while a change that moves the keys on to the next owner is
/// being written: both were granted the keys (OWNER on trouble-1 of cnu-pasarela, seed
/// 1016544882945).
#[test]
fn range_that_is_being_changed_gets_no_grant() {
    let mut sim = Simulation::new(&["a", "b", "c", "d"]);
    sim.run(Span::from_secs(3));
    let to_new_owner = sim
        .orders
        .iter()
        .rev()
        .find(|o| o.target.id.as_str() == "c");
    let renewal = to_new_owner.cloned().unwrap();
    // Keys of `a` move to `c` and others, and wait for the release of `a`.
    sim.unresponsive.push("a".to_owned());
    sim.drain("a");
    sim.run(Span::from_millis(100));
    // The keys move on because `c` does not respond. It responds again while that is being written.
    sim.write_time = Span::from_millis(600);
    for _ in 0..3 {
        sim.leader
            .record_response(sim.now, &renewal, Response::Silent);
    }
    sim.step();
    sim.leader
        .record_response(sim.now, &renewal, Response::Done(None));
    sim.unresponsive.clear();
    // Every grant is checked against the grants of other targets.
    sim.run(Span::from_secs(6));
    assert!(sim.is_settled());
}

/// Guards against keys that move because the leader changes.
#[test]
fn new_leader_renews_the_same_grants() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    let before = sim.durable.clone();
    sim.replace_leader(Span::from_secs(3));
    sim.step();
    let renewed = sim.orders.iter().rev().take(3);
    let epochs: Vec<u64> = renewed.map(|order| order.fence).collect();
    assert_eq!(epochs.len(), 3);
    assert!(
        before
            .ranges
            .iter()
            .all(|range| epochs.contains(&range.epoch))
    );
    sim.run(Span::from_secs(2));
    assert_eq!(sim.durable, before);
}

/// Guards against a new leader that moves the keys of an unresponsive target while a grant from the
/// earlier leader may be valid.
#[test]
fn new_leader_waits_for_the_longest_grant_of_the_earlier_one() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.unresponsive.push("a".to_owned());
    let lease = Span::from_secs(3);
    sim.replace_leader(lease);
    sim.run(lease + MAX_HOLD);
    let moving = |sim: &Simulation| {
        let ranges = sim.durable.ranges.iter();
        ranges
            .filter(|range| matches!(range.state, State::Moving(_)))
            .count()
    };
    assert!(moving(&sim) > 0);
    sim.run(Span::from_millis(1_500));
    assert!(sim.is_settled());
    assert_eq!(sim.owners(), ["b", "c"]);
}

/// Guards against a new leader whose outdated view of the targets contains an earlier incarnation
/// of an owner at the same address: it assumed that the owner had ended and granted its keys to
/// others at once.
#[test]
fn earlier_incarnation_at_an_address_does_not_end_the_owner() {
    for is_current in [false, true] {
        let mut sim = Simulation::new(&["a", "b", "c"]);
        sim.register(registration("a", 2));
        sim.run(Span::from_secs(3));
        sim.replace_leader(Span::from_secs(3));
        let mut old = Fleet::default();
        for (id, start_ms) in [("a", 1), ("b", 1), ("c", 1)] {
            let registration = registration(id, start_ms);
            old.apply(sim.now, &id.parse().unwrap(), Some(registration));
        }
        sim.fleet = old;
        sim.is_current = is_current;
        let before = sim.orders.len();
        sim.run(Span::from_secs(1));
        let released = sim.orders[before..]
            .iter()
            .any(|order| order.operation == Operation::Release);
        // Every grant is checked against the valid grants of other targets. With a current view,
        // the keys of the earlier incarnation move only after its release.
        assert_eq!(released, is_current);
    }
}

/// Guards against a second valid grant after an owner restarts with the same id and address: a
/// renewal reached the new incarnation, which accepted it, before the leader knew of the restart
/// (OWNER on hunt-9551-3 of cnu-pasarela).
#[test]
fn next_incarnation_with_the_same_id_and_address_releases_the_keys() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    let before = sim.orders.len();
    sim.register(registration("a", 2));
    // Every grant is checked against the grants of other targets, identified by their ids.
    sim.run(Span::from_secs(4));
    assert!(sim.is_settled());
    let later = &sim.orders[before..];
    assert!(
        later
            .iter()
            .any(|order| order.operation == Operation::Release)
    );
}

/// An entry that claims the id or the address of target `a`.
struct Claim {
    name: &'static str,
    entry: fn() -> Registration,
    /// Whether `a` itself wrote it: it has restarted at another address.
    is_restart: bool,
}

fn claim(id: &str, address_of: &str, service: &str) -> Registration {
    let mut entry = registration(id, 2);
    entry.incarnation.address = registration(address_of, 1).incarnation.address;
    entry.service = service.parse().unwrap();
    entry
}

/// Guards against an entry of another writer that is taken for proof that an owner has ended: its keys
/// were granted to others without its release (OWNER in review/1).
#[test]
fn entry_of_another_writer_does_not_end_the_owner() {
    let cases = [
        Claim {
            name: "address of the owner, other service",
            entry: || claim("inventory", "a", "inventory"),
            is_restart: false,
        },
        Claim {
            name: "address of the owner, same service",
            entry: || claim("inventory", "a", "lookup"),
            is_restart: false,
        },
        Claim {
            name: "id of the owner, address of no process",
            entry: || claim("a", "nobody", "lookup"),
            is_restart: false,
        },
        Claim {
            name: "id of the owner, address of another target",
            entry: || claim("a", "b", "lookup"),
            is_restart: false,
        },
        Claim {
            name: "id of the owner, which has restarted elsewhere",
            entry: || claim("a", "elsewhere", "lookup"),
            is_restart: true,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&["a", "b", "c"]);
        sim.run(Span::from_secs(3));
        match case.is_restart {
            true => sim.register((case.entry)()),
            false => sim.list((case.entry)()),
        }
        if sim.fleet.get(&"a".parse().unwrap()).unwrap().registration == registration("a", 1) {
            sim.drain("a");
        }
        let before = sim.orders.len();
        // Every grant is checked against the grants of other targets. The restarted target answers
        // the release, so its earlier grants need not expire.
        sim.run(Span::from_millis(if case.is_restart { 800 } else { 7_000 }));
        assert!(sim.is_settled(), "{}", case.name);
        let writes = sim.durable.next_epoch;
        let mut later = sim.orders[before..].iter();
        assert!(
            later.any(|order| order.operation == Operation::Release),
            "{}",
            case.name
        );
        sim.run(Span::from_secs(3));
        assert!(
            sim.durable.next_epoch < writes + 10,
            "{}: keys move all the time",
            case.name
        );
    }
}

/// Guards against renewals that are delayed by the ranges of leaving targets while no change can be
/// written: such ranges have no order but counted towards the limit of 24 orders per tick, so that
/// with more than 24 of them all other grants expired.
#[test]
fn ranges_that_can_not_move_yet_delay_no_renewals() {
    let names: Vec<String> = (0..60).map(|index| format!("t{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&names);
    sim.run(Span::from_secs(4));
    for name in &names[..30] {
        sim.drain(name);
    }
    sim.drops_writes = true;
    sim.run(Span::from_secs(6));
    let held = |name: &&str| {
        let mut grants = sim.grants.iter().filter(|((id, _, _), _)| id == *name);
        grants.any(|(_, (_, end))| *end > sim.now)
    };
    assert!(names[30..].iter().all(held));
}

/// Guards against a host that takes the keys from all targets because its own network is cut off.
#[test]
fn leader_that_reaches_few_targets_resigns() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    sim.unresponsive.extend(["a".to_owned(), "b".to_owned()]);
    let resigned = (0..60).any(|_| {
        sim.now = sim.now + Span::from_millis(50);
        sim.step()
    });
    assert!(resigned);
}

/// Guards against leaders that resign one after another, so that keys stay without owners, since most
/// owners have ended and no host reaches them.
#[test]
fn keys_of_most_owners_move_after_they_have_ended() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    for id in ["a", "b"] {
        sim.processes.retain(|_, process| process != id);
        sim.fleet.apply(sim.now, &id.parse().unwrap(), None);
    }
    // Every grant is checked against the grants of other targets.
    sim.run(Span::from_secs(8));
    assert!(sim.is_settled());
    assert_eq!(sim.owners(), ["c"]);
}

/// Guards against keys without owners until the leader changes, after no target has responded for a
/// while: a target is known to respond again only from an order.
#[test]
fn targets_are_tried_again_if_none_responds() {
    let cases: [&[&str]; 2] = [&["a"], &["a", "b"]];
    for ids in cases {
        let mut sim = Simulation::new(ids);
        sim.run(Span::from_secs(3));
        sim.unresponsive = ids.iter().map(|id| (*id).to_owned()).collect();
        sim.run(Span::from_secs(7));
        sim.unresponsive.clear();
        sim.run(Span::from_secs(2));
        let mut ranges = sim.durable.ranges.iter();
        let is_granted = ranges.all(|range| {
            let key = (range.owner.id.to_string(), range.first, range.last);
            sim.grants.get(&key).is_some_and(|(_, end)| *end > sim.now)
        });
        assert!(sim.is_settled() && is_granted, "{ids:?}");
    }
}

/// Guards against a late refusal of a renewal for a range that has since been divided: the leader
/// assumed that its owner had lost the keys, and moved them.
#[test]
fn late_refusal_of_a_divided_range_moves_no_keys() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    let wide = sim
        .orders
        .iter()
        .rev()
        .find(|order| order.target.id.as_str() == "a");
    let wide = wide.cloned().unwrap();
    sim.register(registration("d", 1));
    sim.run(Span::from_secs(2));
    let before = sim.durable.clone();
    sim.leader
        .record_response(sim.now, &wide, Response::Refused);
    sim.run(Span::from_secs(2));
    assert_eq!(sim.durable, before);
}

/// Guards against a leader that knows only ranges of before, since the store was restored from a
/// copy and no host remembers more: it must grant no key that another target may hold by a grant
/// that it doesn't know.
#[test]
fn leader_without_the_latest_ranges_gives_no_key_two_owners() {
    for rounds in 1..4 {
        let mut sim = Simulation::new(&["a", "b", "c"]);
        sim.run(Span::from_secs(3));
        let copy = sim.durable.clone();
        for round in 0..rounds {
            sim.drain(["a", "b", "c"][round]);
            sim.run(Span::from_secs(2));
            sim.register(registration(["a", "b", "c"][round], 1));
            sim.run(Span::from_secs(2));
        }
        sim.durable = copy;
        sim.min_epoch = 1 << 32;
        sim.replace_leader(Span::from_secs(3));
        sim.leader = sim.leader.clone().recovered(false);
        sim.run(Span::from_secs(25));
        assert!(sim.is_settled(), "{rounds}: {:?}", sim.durable);
    }
}

/// Guards against a renewal by a range of before at an owner that has restarted under its id since,
/// which refuses no lower epoch (soak, seed 1: epochs 6 to 12 after higher ones).
#[test]
fn recovered_leader_waits_for_the_list_of_targets() {
    let mut sim = Simulation::new(&["a", "b", "c"]);
    sim.run(Span::from_secs(3));
    let copy = sim.durable.clone();
    sim.drain("a");
    sim.run(Span::from_secs(2));
    sim.durable = copy;
    sim.min_epoch = 1 << 32;
    sim.seen.retain(|(id, ..)| id != "a");
    sim.grants.retain(|(id, ..), _| id != "a");
    sim.replace_leader(Span::from_secs(3));
    sim.leader = sim.leader.clone().recovered(false);
    sim.is_current = false;
    sim.run(Span::from_secs(1));
    sim.register(registration("a", 2));
    sim.is_current = true;
    sim.run(Span::from_secs(25));
    assert!(sim.is_settled(), "{:?}", sim.durable);
}

/// Guards against a leader that is busy with orders alone: a storm of draining targets lifts their
/// number without a bound.
#[test]
fn storm_of_draining_targets_does_not_lift_the_orders_above_their_bound() {
    struct Case {
        targets: usize,
        draining: usize,
    }
    let cases = [
        Case {
            targets: 12,
            draining: 6,
        },
        Case {
            targets: 264,
            draining: 130,
        },
    ];
    for Case { targets, draining } in cases {
        let ids: Vec<String> = (0..targets).map(|index| format!("i-{index:03}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut sim = Simulation::new(&ids);
        sim.run(Span::from_secs(6));
        for id in &ids[..draining] {
            sim.drain(id);
        }
        let mut sent_at = Vec::new();
        let mut most_ranges = 0;
        let end = sim.now + Span::from_secs(3);
        while sim.now < end {
            let before = sim.orders.len();
            sim.step();
            sent_at.extend(vec![sim.now; sim.orders.len() - before]);
            most_ranges = most_ranges.max(sim.durable.ranges.len());
            sim.now = sim.now + Span::from_millis(5);
        }
        let window = Span::from_millis(100);
        let in_window = |at: &Instant| {
            let later = sent_at
                .iter()
                .filter(|t| **t >= *at && t.since(*at) < window);
            later.count()
        };
        let most = sent_at.iter().map(in_window).max();
        let bound = 24.0 + (100.0 + 2.0 * most_ranges as f64) * window.as_secs_f64();
        assert!(
            most.unwrap_or_default() as f64 <= bound,
            "{targets} targets: {most:?} orders in 100 ms, {bound} allowed"
        );
        let leaving: Vec<&str> = ids[..draining].to_vec();
        let owners = sim.owners();
        assert!(owners.iter().all(|owner| !leaving.contains(owner)));
    }
}
