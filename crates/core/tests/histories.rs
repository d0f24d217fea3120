//! Random histories of the ledger and random runs of the ownership protocol.
//!
//! The seed is fixed. RAGWORTRILL_CASES sets the number of cases.

mod history;
#[allow(dead_code, reason = "shared with the ownership tests")]
mod scene;

use std::collections::{BTreeMap, BTreeSet};

use history::{Step, record, steps};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use ragwortrill_core::{
    ledger::{Effect, Ledger},
    number::{Epoch, Offset},
    record::{Entry, Id, Record},
};

const DEFAULT_CASES: u32 = 128;

fn runner() -> TestRunner {
    let cases = std::env::var("RAGWORTRILL_CASES").ok();
    let config = Config {
        cases: cases
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let seed = [7; 32];
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Creates entries whose offsets, epochs and versions exist, as those of correct writers do.
fn entries(records: Vec<Record>) -> Vec<Entry> {
    let mut ledger = Ledger::default();
    let ids = (1..).map(Id);
    let entry = |(id, record)| {
        let entry = scene::entry(id, history::limit(record, &ledger));
        ledger.apply(ledger.offset().next(), &entry);
        entry
    };
    ids.zip(records).map(entry).collect()
}

/// Guards against state that is lost when a ledger is encoded and decoded, and against effects that
/// differ between readers.
#[test]
fn readers_agree_across_a_snapshot() {
    let strategy = (vec(record(), 1..60), 0..60_usize);
    let check = |(records, cut): (Vec<Record>, usize)| {
        let (mut first, mut second) = (Ledger::default(), Ledger::default());
        for (index, entry) in entries(records).iter().enumerate() {
            let offset = Offset(1 + index as u64);
            prop_assert_eq!(first.apply(offset, entry), second.apply(offset, entry));
            prop_assert_eq!(first.hash(), second.hash());
            if index == cut {
                let text = serde_json::to_string(&second).expect("a ledger can be encoded");
                second = serde_json::from_str(&text).expect("a ledger can be decoded");
            }
        }
        prop_assert_eq!(first, second);
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

/// Guards against records at or below the ledger's offset that are applied again.
#[test]
fn known_offsets_have_no_effect() {
    let check = |records: Vec<Record>| {
        let entries = entries(records);
        let mut ledger = Ledger::default();
        for (index, entry) in entries.iter().enumerate() {
            ledger.apply(Offset(1 + index as u64), entry);
            let before = ledger.clone();
            for (earlier, entry) in entries.iter().enumerate().take(index + 1) {
                let effect = ledger.apply(Offset(1 + earlier as u64), entry);
                prop_assert_eq!(effect, Effect::Duplicate);
            }
            prop_assert_eq!(&ledger, &before);
        }
        Ok(())
    };
    runner().run(&vec(record(), 1..40), check).unwrap();
}

/// Guards against a ledger that skips records and so differs from all others.
#[test]
fn gaps_are_refused() {
    let strategy = (vec(record(), 2..40), 2..1_000_u64);
    let check = |(records, skip): (Vec<Record>, u64)| {
        let mut ledger = Ledger::default();
        for entry in &entries(records) {
            let next = ledger.offset().next();
            let before = ledger.clone();
            let effect = ledger.apply(Offset(ledger.offset().0 + skip), entry);
            prop_assert_eq!(effect, Effect::Missing);
            prop_assert_eq!(&ledger, &before);
            prop_assert_ne!(ledger.apply(next, entry), Effect::Missing);
        }
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

/// Guards against a second copy of an entry, at a later offset, that changes the ledger.
#[test]
fn repeated_entries_change_nothing() {
    let strategy = (vec(record(), 1..60), vec(any::<Index>(), 1..20));
    let check = |(records, picks): (Vec<Record>, Vec<Index>)| {
        let entries = entries(records);
        let mut ledger = Ledger::default();
        for (index, entry) in entries.iter().enumerate() {
            ledger.apply(ledger.offset().next(), entry);
            let before = history::summary(&ledger);
            for pick in &picks {
                let mut copy = ledger.clone();
                let repeated = &entries[pick.index(index + 1)];
                copy.apply(copy.offset().next(), repeated);
                prop_assert_eq!(&history::summary(&copy), &before, "repeated {:?}", repeated);
            }
        }
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

/// Guards against versions and epochs that decrease and against contracts that disappear.
#[test]
fn versions_and_epochs_never_decrease() {
    let check = |records: Vec<Record>| {
        let mut ledger = Ledger::default();
        let mut epochs: BTreeMap<_, Epoch> = BTreeMap::new();
        let mut version = ledger.version();
        for entry in &entries(records) {
            ledger.apply(ledger.offset().next(), entry);
            prop_assert!(ledger.version() >= version);
            version = ledger.version();
            for (target, epoch) in &epochs {
                prop_assert!(ledger.contracts()[target].epoch >= *epoch);
            }
            let contracts = ledger.contracts().iter();
            epochs = contracts.map(|(t, c)| (t.clone(), c.epoch)).collect();
        }
        Ok(())
    };
    runner().run(&vec(record(), 1..80), check).unwrap();
}

/// Guards against two processes that may act on one target at the same time, in runs with the
/// default time limits, clock drift, delayed answers, late and repeated records, and losses.
#[test]
fn one_process_acts_at_a_time() {
    let strategy = (vec(990_000..=1_010_000_u64, 4), vec(steps(), 1..300));
    let check = |(rates, steps): (Vec<u64>, Vec<Step>)| {
        let mut run = history::Run::new(rates);
        for step in steps {
            run.take(&step);
            prop_assert!(
                run.actors() <= 1,
                "{} processes act after {step:?}",
                run.actors()
            );
        }
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

/// Guards against runs that never reach a takeover, in which `one_process_acts_at_a_time` would
/// check nothing.
#[test]
fn runs_reach_takeovers() {
    let (mut acted, mut taken) = (0, 0);
    let strategy = (vec(990_000..=1_010_000_u64, 4), vec(steps(), 300));
    let mut runner = runner();
    for _ in 0..64 {
        let tree = strategy.new_tree(&mut runner).unwrap();
        let (rates, steps) = tree.current();
        let mut run = history::Run::new(rates);
        let mut epochs = BTreeSet::new();
        for step in steps {
            run.take(&step);
            epochs.extend(run.acting());
        }
        acted += usize::from(!epochs.is_empty());
        taken += usize::from(epochs.len() > 1);
    }
    assert!(
        acted > 48 && taken > 16,
        "{acted} of 64 acted, {taken} changed holder"
    );
}
