//! Time without service after a loss, in virtual time, against the users' bound.

use ragwortrill_core::time::Span;
use ragwortrill_standin::{
    recovery::{Fault, run},
    world::Policy,
};

/// Longest time for which a key may have no service after a loss.
const BOUND: Span = Span::from_secs(4);

/// Guards against the loss of a data centre that takes two detections in a row: slices moved to
/// targets that were lost as well, or contracts of lost targets changed hands before their slices
/// had moved. These seeds took 4.60 to 4.88 s.
#[test]
fn a_lost_data_centre_is_replaced_in_time() {
    for seed in [19, 79, 94] {
        let outcome = run(Fault::DataCentreLost, Policy::Core, seed);
        assert!(outcome.gap <= BOUND, "seed {seed}: {}", outcome.gap);
    }
}
