//! A daemon that has lost its links to all others but can still read the log.

use ragwortrill_core::time::Span;
use ragwortrill_standin::world::{Builder, Endpoint, World};

fn cut_off() -> World {
    let mut world = World::new(Builder::default(), 77);
    world.run(Span::from_secs(15));
    for other in 1..world.daemon_count() {
        world.net.cut(Endpoint::Daemon(0), Endpoint::Daemon(other));
    }
    world
}

/// Guards against claims by a daemon without links to the others: it claimed all contracts, and
/// targets of which it was no standby had no service for the outsider wait of an hour.
#[test]
fn a_daemon_without_links_to_others_claims_nothing() {
    let mut world = cut_off();
    let before = world.holders();
    world.run(Span::from_secs(6));
    let own = |holders: &std::collections::BTreeMap<String, usize>| {
        holders.values().filter(|holder| **holder == 0).count()
    };
    assert!(own(&world.holders()) <= own(&before));
    world.net.restore_all();
    world.run(Span::from_secs(6));
    let calls: Vec<usize> = (0..12).map(|key| world.call("lookup", key)).collect();
    world.run(Span::from_secs(1));
    let served = calls
        .iter()
        .filter(|call| world.calls()[**call].is_served());
    assert_eq!(served.count(), 12);
}
