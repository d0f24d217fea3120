//! Memory of the shared state, measured as the growth of the process's resident memory.

use ragwortrill_core::{ledger::Ledger, number::Epoch};

use crate::{
    fit::Slope,
    process::resident_bytes,
    sample::{apply, claim, intent, ledger},
};

/// Measures the memory of slices, targets and request ids.
pub fn measure() -> Vec<Slope> {
    let slices =
        [100_000, 500_000, 1_000_000].map(|n| (f64::from(n), growth_bytes(|| ledger(100, n))));
    let targets = [1_000, 10_000, 50_000].map(|n| {
        let create = || {
            let mut ledger = ledger(n, 1_024);
            apply(&mut ledger, claim(0, 0..n));
            ledger
        };
        (n as f64, growth_bytes(create))
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
        (n as f64, growth_bytes(create))
    });
    vec![
        Slope::new("state, bytes", "slice", slices.to_vec()),
        Slope::new("state, bytes", "target with contract", targets.to_vec()),
        Slope::new("state, bytes", "remembered request id", requests.to_vec()),
    ]
}

/// Returns by how many bytes the process grows when a state is created.
///
/// The state is leaked: if it were freed, the next state would reuse its memory and the process
/// would grow less than that state's size.
fn growth_bytes(create: impl FnOnce() -> Ledger) -> f64 {
    let before = resident_bytes();
    let ledger = Box::new(create());
    let growth_bytes = resident_bytes() - before;
    Box::leak(ledger);
    growth_bytes
}
