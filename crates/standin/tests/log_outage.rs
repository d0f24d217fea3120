//! Service during an outage of the log.

use ragwortrill_core::time::Span;
use ragwortrill_standin::{
    recovery::{self, Fault},
    world::{Policy, Tally},
};

/// Guards against voluntary moves and releases that are appended while the log does not answer:
/// their keys had no service until the log answered again.
#[test]
fn lookups_are_served_during_a_log_outage() {
    for seed in [1, 2, 3] {
        let outcome = recovery::run(Fault::LogDown, Policy::Core, seed);
        assert_eq!(outcome.gap, Span::ZERO, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.tally, Tally::default(), "seed {seed}");
    }
}
