//! Regression tests for faults of the ownership protocol, one test for each fault.

mod scene;

use ragwortrill_core::{
    ledger::Effect,
    name::{DataCentre, Target},
    number::Offset,
    record::{Id, Record, State},
    time::Instant,
    times::Times,
};
use scene::{Scene, entry, name, process, started, table};

/// Guards against a standby that took over and then gives a promise to the replaced holder, which
/// has not read the claim yet and would continue to act.
#[test]
fn promise_stays_withheld_after_the_takeover() {
    let mut scene = Scene::new();
    let first = scene.claim("a", &["b"]);
    scene.claim("b", &["a"]);
    assert_eq!(scene.ownership("b").withheld(&[first]), [first]);
}

/// Guards against a standby that withholds its promise for good after the log refused its claim.
#[test]
fn promise_returns_after_a_refused_claim() {
    let mut scene = Scene::new();
    let first = scene.claim("a", &["b", "c"]);
    let late = scene.submit_claim("b", &["a"]);
    let second = scene.claim("c", &["a", "b"]);
    assert_eq!(scene.ownership("b").withheld(&[first]), [first]);
    assert_eq!(scene.append(&late), Effect::Conflict);
    assert!(scene.ownership("b").withheld(&[first, second]).is_empty());
}

/// Guards against a second copy of a change of standbys that replaces a later change: its standby
/// would take over after the short wait while the holder requests promises from the others.
#[test]
fn repeated_change_of_standbys_has_no_effect() {
    let mut scene = Scene::new();
    scene.claim("a", &["b"]);
    let first = scene.change_standbys("a", "c");
    assert_eq!(scene.append(&first), Effect::Applied);
    let second = scene.change_standbys("a", "b");
    assert_eq!(scene.append(&second), Effect::Applied);
    assert_eq!(scene.append(&first), Effect::Conflict);
    let contract = &scene.ledger().contracts()[&name::<Target>("t1")];
    assert_eq!(contract.standbys, [process("b")]);
}

/// Guards against a second copy of a move that takes a slice from the holder that it was moved back
/// to.
#[test]
fn repeated_move_has_no_effect() {
    let mut scene = Scene::new();
    let (first, second) = scene.claim_both("a", "b");
    let away = scene.move_slice("t1", first, "t2");
    assert_eq!(scene.append(&away), Effect::Applied);
    let back = scene.move_slice("t2", second, "t1");
    assert_eq!(scene.append(&back), Effect::Applied);
    assert_eq!(scene.append(&away), Effect::Conflict);
    assert_eq!(scene.owner(), name::<Target>("t1"));
}

/// Guards against a refused move that takes effect through a second copy after the table changed,
/// while its writer serves the slice again.
#[test]
fn refused_move_stays_refused() {
    let mut scene = Scene::new();
    let (first, _) = scene.claim_both("a", "b");
    let away = scene.move_slice("t1", first, "t2");
    scene.replace_table(table(&["t1"]));
    assert_eq!(scene.append(&away), Effect::Conflict);
    scene.replace_table(table(&["t1", "t2"]));
    assert_eq!(scene.append(&away), Effect::Conflict);
    assert_eq!(scene.owner(), name::<Target>("t1"));
}

/// Guards against the start record of an ended process that takes effect after its successor's and
/// declares the successor lost, which would let an outsider take over after the short wait.
#[test]
fn late_start_does_not_end_its_successor() {
    let mut scene = Scene::new();
    let late = scene.entry(started("a", 1, Offset(0)));
    let current = scene.entry(started("a", 2, Offset(0)));
    assert_eq!(scene.append(&current), Effect::Applied);
    assert_eq!(scene.append(&late), Effect::Conflict);
    assert!(scene.ledger().lost().is_empty());
}

/// Guards against a new process that is never registered because its predecessor's start record was
/// appended between its read and its append: it must succeed after it has read that record.
#[test]
fn start_succeeds_after_reading_the_predecessor() {
    let mut scene = Scene::new();
    let first = scene.entry(started("a", 1, Offset(0)));
    scene.append(&first);
    let unaware = scene.entry(started("a", 2, Offset(0)));
    assert_eq!(scene.append(&unaware), Effect::Conflict);
    let after = scene.ledger().offset();
    let second = scene.entry(started("a", 2, after));
    assert_eq!(scene.append(&second), Effect::Applied);
    assert_eq!(scene.ledger().lost().len(), 1);
}

/// Guards against a late copy of an operator's change that undoes a later change.
#[test]
fn repeated_state_has_no_effect() {
    let mut scene = Scene::new();
    let northam: DataCentre = name("northam");
    let change = |state, after| Record::DataCentre {
        name: northam.clone(),
        state,
        after,
    };
    let after = scene.ledger().offset();
    let out = scene.entry(change(State::Out, after));
    assert_eq!(scene.append(&out), Effect::Applied);
    let after = scene.ledger().offset();
    let back = scene.entry(change(State::In, after));
    assert_eq!(scene.append(&back), Effect::Applied);
    assert_eq!(scene.append(&out), Effect::Duplicate);
    assert_eq!(scene.ledger().data_centre(&northam), State::In);
    // A copy under another id is not recognised as a copy; it is refused because of its `after`.
    let renamed = scene.entry(out.record.clone());
    assert_eq!(scene.append(&renamed), Effect::Conflict);
    assert_eq!(scene.ledger().data_centre(&northam), State::In);
}

/// Guards against a replaced holder that restores a snapshot, so that it never reads the claim that
/// replaced it, and continues to act.
#[test]
fn restored_ledger_ends_replaced_contracts() {
    let mut scene = Scene::new();
    scene.claim("a", &["b"]);
    let mut paused = scene.ownership("a").clone();
    let first = scene.epoch();
    let mut claimer = scene.ownership("b").clone();
    let record = claimer.claim(Id(100), vec![(name("t1"), Some(first))], Vec::new());
    let claim = entry(Id(100), record);
    scene.append(&claim);
    let times = Times::default();
    paused.restore(Instant(0), scene.ledger(), &times);
    claimer.restore(Instant(0), scene.ledger(), &times);
    paused.add_proof(Instant(0));
    assert_eq!(
        paused.epoch(&name("t1"), Instant(1), &Times::default()),
        None
    );
    assert!(paused.held().is_empty());
    assert_eq!(claimer.withheld(&[first]), [first]);
    assert!(!claimer.is_claiming(&name("t1")));
    // The claimer waits the full time from when it read that its claim took effect.
    let end = Instant(0) + times.short_wait();
    claimer.add_proof(end);
    let last = Instant(end.0 - 1);
    assert_eq!(claimer.epoch(&name("t1"), last, &times), None);
    assert!(claimer.epoch(&name("t1"), end, &times).is_some());
}
