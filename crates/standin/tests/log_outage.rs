//! Service through an outage of the log.

use ragwortrill_core::time::Span;
use ragwortrill_standin::{
    recovery::{self, Fault},
    world::{Policy, Tally},
};

/// Guards against voluntary moves and releases that are submitted to a log that no longer
/// answers: their keys had no service until it returned.
#[test]
fn lookups_go_on_without_the_log() {
    for seed in [1, 2, 3] {
        let outcome = recovery::run(Fault::LogDown, Policy::Core, seed);
        assert_eq!(outcome.gap, Span::ZERO, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.tally, Tally::default(), "seed {seed}");
    }
}
