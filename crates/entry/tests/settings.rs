//! Age of records that the leader relays.

use ragwortrill_core::time::Span;
use ragwortrill_entry::settings::Bounds;

struct Case {
    name: &'static str,
    bound_ms: u64,
}

/// Longest time that a read of the store takes.
const READ_MS: u64 = 300;
/// Delay before a failed read is repeated.
const RETRY_MS: u64 = 300;

/// Guards against a host that relies on a relayed configuration for longer than the bound: a leader
/// that was cut off from the store relayed records up to 4.3 s old, against a bound of 2 s.
#[test]
fn relayed_records_expire_in_time_for_an_own_read_within_the_bound() {
    let cases = [
        Case {
            name: "small deployments",
            bound_ms: 2_000,
        },
        Case {
            name: "grown deployments",
            bound_ms: 2_500,
        },
    ];
    for case in cases {
        let bound = Span::from_millis(case.bound_ms);
        let age_after_read = Bounds::max_relay_age(bound) + Span::from_millis(READ_MS + RETRY_MS);
        assert!(age_after_read < bound, "{}: {age_after_read}", case.name);
        assert!(
            Bounds::max_relay_age(bound) >= Span::from_secs(1),
            "{}",
            case.name
        );
    }
}
