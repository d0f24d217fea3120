//! Sketch of the keys with the highest weight.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::Config};
use ragwortrill_core::{key::Digest, sketch::Sketch};

proptest! {
    #![proptest_config(Config {
        cases: 100,
        rng_seed: prop::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a heavy key that the sketch misses, a weight outside its bounds, and unbounded
    /// memory.
    #[test]
    fn keeps_every_heavy_key(keys in prop::collection::vec(0..200u64, 1..2_000), hot in 0..200u64) {
        let mut sketch = Sketch::new(32);
        let mut exact = BTreeMap::new();
        for (index, key) in keys.iter().enumerate() {
            let key = Digest(if index % 5 == 0 { hot } else { *key });
            sketch.add(key, 1);
            *exact.entry(key).or_insert(0u64) += 1;
        }
        prop_assert!(sketch.len() <= 32);
        prop_assert_eq!(sketch.total(), keys.len() as u64);
        for (key, count) in sketch.heavy(0) {
            prop_assert!(count.lower_bound() <= exact[&key] && exact[&key] <= count.upper_bound);
        }
        let every_fifth = keys.len() < 64 || sketch.heavy(100).contains_key(&Digest(hot));
        prop_assert!(every_fifth);
    }
}

/// Guards against a key that remains hot after its load has fallen.
#[test]
fn old_weight_fades() {
    let mut sketch = Sketch::new(8);
    sketch.add(Digest(1), 1_000);
    for _ in 0..6 {
        sketch.halve();
        sketch.add(Digest(2), 100);
    }
    let heavy = sketch.heavy(300);
    assert!(heavy.contains_key(&Digest(2)) && !heavy.contains_key(&Digest(1)));
}
