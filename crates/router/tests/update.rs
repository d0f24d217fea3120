//! Age of the news that the leader tells.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::update::Timing;
use test_case::test_case;

struct Case {
    held_ms: u64,
    age_ms: u64,
    /// When the store stated the news, in milliseconds after the report was sent.
    stated_at_ms: i64,
}

/// Guards against news that count as older than they are, since the leader kept the report for a
/// while: every host then reads the store besides.
#[test_case(Case { held_ms: 0, age_ms: 300, stated_at_ms: -300 }; "answered at once")]
#[test_case(Case { held_ms: 550, age_ms: 600, stated_at_ms: -50 }; "kept for a while")]
#[test_case(Case { held_ms: 550, age_ms: 0, stated_at_ms: 550 }; "news that came meanwhile")]
fn news_are_as_old_as_the_stores_statement(case: Case) {
    let sent = Instant(Span::from_secs(100).0);
    let stamp = Timing {
        held: Span::from_millis(case.held_ms),
        age: Span::from_millis(case.age_ms),
    };
    let stated_at = stamp.confirmed_at(sent).0 as i64 - sent.0 as i64;
    assert_eq!(stated_at, case.stated_at_ms * 1_000);
}
