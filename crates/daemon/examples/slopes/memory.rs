//! Memory of the shared state, by the growth of the process.

use ragwortrill_core::{ledger::Ledger, number::Epoch};

use crate::{
    fit::Slope,
    process::resident,
    sample::{apply, claim, intent, ledger},
};

/// Measures the memory of slices, targets and request ids.
pub fn measure() -> Vec<Slope> {
    let slices = [100_000, 500_000, 1_000_000].map(|n| (f64::from(n), grown(|| ledger(100, n))));
    let targets = [1_000, 10_000, 50_000].map(|n| {
        let create = || {
            let mut ledger = ledger(n, 1_024);
            apply(&mut ledger, claim(0, 0..n));
            ledger
        };
        (n as f64, grown(create))
    });
    let requests = [100_000, 500_000, 1_000_000].map(|n| {
        let create = || {
            let mut ledger = ledger(1, 1_024);
            apply(&mut ledger, claim(0, 0..1));
            for first in (0..n).step_by(1_000) {
                apply(&mut ledger, intent(0, Epoch(2), first..first + 1_000));
            }
            ledger
        };
        (n as f64, grown(create))
    });
    vec![
        Slope::new("state, bytes", "slice", slices.to_vec()),
        Slope::new("state, bytes", "target with contract", targets.to_vec()),
        Slope::new("state, bytes", "remembered request id", requests.to_vec()),
    ]
}

/// Returns how much the process grows while a state is created and held.
///
/// States are leaked, so that freed memory of one does not hide the growth of the next.
fn grown(create: impl FnOnce() -> Ledger) -> f64 {
    let before = resident();
    let ledger = Box::new(create());
    let grown = resident() - before;
    Box::leak(ledger);
    grown
}
