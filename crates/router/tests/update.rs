//! Age of the updates that hosts receive from the leader.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::update::Timing;
use test_case::test_case;

struct Case {
    held_ms: u64,
    age_ms: u64,
    /// Time at which the store confirmed the newest record, in milliseconds after the report was
    /// sent.
    confirmed_at_ms: i64,
}

/// Guards against an update that counts as older than it is because the leader held the report
/// before it answered: every host would then read from the store as well.
#[test_case(Case { held_ms: 0, age_ms: 300, confirmed_at_ms: -300 }; "answered at once")]
#[test_case(Case { held_ms: 550, age_ms: 600, confirmed_at_ms: -50 }; "confirmed before report")]
#[test_case(Case { held_ms: 550, age_ms: 0, confirmed_at_ms: 550 }; "confirmed at the answer")]
fn age_is_measured_from_the_confirmation_of_the_store(case: Case) {
    let sent = Instant(Span::from_secs(100).0);
    let timing = Timing {
        held: Span::from_millis(case.held_ms),
        age: Span::from_millis(case.age_ms),
    };
    let confirmed_at = timing.confirmed_at(sent).0 as i64 - sent.0 as i64;
    assert_eq!(confirmed_at, case.confirmed_at_ms * 1_000);
}
