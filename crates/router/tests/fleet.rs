//! Target entries that are added, changed and removed, also around outages of the store.

use std::collections::BTreeSet;

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};
use ragwortrill_router::{
    fleet::{Change, Fleet},
    registration::{Incarnation, Registration},
};

fn id() -> name::Target {
    "a".parse().unwrap()
}

fn service() -> name::Service {
    "lookup".parse().unwrap()
}

fn registration(start_ms: u64) -> Registration {
    Registration {
        incarnation: Incarnation {
            id: id(),
            start_ms,
            address: ([127, 0, 0, 1], 1_000).into(),
        },
        service: service(),
        data_centre: "north".parse().unwrap(),
        slots: 6,
        is_draining: false,
        cold: Span::ZERO,
        sequence: 0,
    }
}

fn draining() -> Registration {
    Registration {
        is_draining: true,
        ..registration(1)
    }
}

fn at(millis: u64) -> Instant {
    Instant(Span::from_secs(100).0) + Span::from_millis(millis)
}

struct Case {
    name: &'static str,
    /// Start and end of an outage of the store, in milliseconds.
    outage: Option<(u64, u64)>,
    entry: Registration,
    removed_at: u64,
    /// Last time checked at which the target must still serve, and time at which it must be
    /// removed, in milliseconds.
    serves_until: Option<u64>,
    gone_at: u64,
}

/// Guards against requests to a target that left while the host could not reach the store (seen
/// 12 s after its drain), and against the removal of all targets after an outage of the store, in
/// which their entries expired.
#[test]
fn target_outlives_its_entry_only_after_an_outage() {
    let cases = [
        Case {
            name: "removed while the store answers",
            outage: None,
            entry: registration(1),
            removed_at: 1_000,
            serves_until: None,
            gone_at: 1_000,
        },
        Case {
            name: "expired during an outage",
            outage: Some((1_000, 5_000)),
            entry: registration(1),
            removed_at: 5_100,
            serves_until: Some(6_900),
            gone_at: 7_000,
        },
        Case {
            name: "expired during an outage, read half a second after its end",
            outage: Some((1_000, 5_000)),
            entry: registration(1),
            removed_at: 5_500,
            serves_until: Some(6_900),
            gone_at: 7_000,
        },
        Case {
            name: "removed after a single failed call",
            outage: Some((1_000, 1_300)),
            entry: registration(1),
            removed_at: 1_400,
            serves_until: None,
            gone_at: 1_400,
        },
        Case {
            name: "draining before the outage",
            outage: Some((1_000, 5_000)),
            entry: draining(),
            removed_at: 5_100,
            serves_until: None,
            gone_at: 5_100,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.apply(at(0), &id(), Some(case.entry));
        if let Some((from, to)) = case.outage {
            fleet.store_failed(at(from));
            fleet.store_answered(at(to));
        }
        fleet.apply(at(case.removed_at), &id(), None);
        if let Some(until) = case.serves_until {
            fleet.expire(at(until));
            assert_eq!(fleet.serving(&service()).count(), 1, "{}", case.name);
            assert_eq!(fleet.expires_at(), Some(at(case.gone_at)), "{}", case.name);
        }
        fleet.expire(at(case.gone_at));
        assert!(fleet.get(&id()).is_none(), "{}", case.name);
    }
}

/// Guards against the removal of a target whose entry expired during an outage of the store and
/// reappeared.
#[test]
fn target_with_a_returned_entry_stays() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), &id(), Some(registration(1)));
    fleet.store_failed(at(1_000));
    fleet.store_answered(at(5_000));
    fleet.apply(at(5_100), &id(), None);
    assert_eq!(
        fleet.apply(at(6_000), &id(), Some(registration(1))),
        Change::None
    );
    assert!(fleet.expire(at(9_000)).is_empty());
    assert_eq!(fleet.serving(&service()).count(), 1);
}

/// Guards against keeping a target that a complete listing no longer contains.
#[test]
fn unlisted_target_is_removed() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), &id(), Some(registration(1)));
    assert_eq!(fleet.retain(at(1_000), &BTreeSet::new()), [id()]);
    assert!(fleet.get(&id()).is_none());
}

/// Guards against treating a restarted target as its earlier incarnation.
#[test]
fn new_incarnation_counts_as_started() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), &id(), Some(registration(1)));
    assert_eq!(
        fleet.apply(at(500), &id(), Some(registration(2))),
        Change::Started
    );
    assert_eq!(
        fleet.apply(at(600), &id(), Some(registration(2))),
        Change::None
    );
}

/// Guards against full load on targets that became cold while their data centre was evacuated.
#[test]
fn targets_are_cold_after_an_evacuation() {
    let mut fleet = Fleet::default();
    let north = "north".parse().unwrap();
    fleet.apply(at(0), &id(), Some(registration(1)));
    assert!(fleet.evacuate(&north));
    assert_eq!(fleet.serving(&service()).count(), 0);
    assert!(fleet.restore(at(5_000), &north));
    let service = service();
    let target = fleet.serving(&service).next().unwrap();
    assert!(target.cold_until > at(5_000));
}

struct Restored {
    name: &'static str,
    /// Entry that the store held last, or none if the target had left, and the one of the copy.
    last: Option<Registration>,
    copy: Registration,
    serves: bool,
}

/// Guards against a target that is used again because a restored store has its entry of before it
/// left.
#[test]
fn entries_of_a_copy_bring_no_target_back() {
    let entry = |start_ms, sequence| Registration {
        sequence,
        ..registration(start_ms)
    };
    let leaving = Registration {
        is_draining: true,
        ..entry(1, 7)
    };
    let cases = [
        Restored {
            name: "draining since the copy",
            last: Some(leaving.clone()),
            copy: entry(1, 4),
            serves: false,
        },
        Restored {
            name: "removed since the copy",
            last: None,
            copy: entry(1, 4),
            serves: false,
        },
        Restored {
            name: "removed, and another entry since",
            last: None,
            copy: entry(1, 9),
            serves: true,
        },
        Restored {
            name: "restarted since the copy",
            last: Some(entry(2, 1)),
            copy: entry(1, 4),
            serves: true,
        },
        Restored {
            name: "draining, and returned since",
            last: Some(leaving),
            copy: entry(2, 1),
            serves: true,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.apply(at(0), &id(), Some(entry(1, 6)));
        fleet.apply(at(1_000), &id(), case.last.clone());
        fleet.store_restored(at(2_000));
        fleet.apply(at(2_100), &id(), Some(case.copy));
        let serves = fleet.serving(&service()).count() == 1;
        assert_eq!(serves, case.serves, "{}", case.name);
        let kept = fleet
            .get(&id())
            .map(|target| target.registration.incarnation.start_ms);
        if case.name == "restarted since the copy" {
            assert_eq!(kept, Some(2), "{}", case.name);
        }
    }
}
