//! Ages of news from other hosts.

use ragwortrill_core::time::Span;
use ragwortrill_entry::settings::Bounds;

struct Case {
    name: &'static str,
    bound_ms: u64,
}

/// Longest answer of the store that a host waits for, and the pause before it tries again.
const READ_MS: u64 = 300;
const RETRY_MS: u64 = 300;

/// Guards against a host that takes the leader's news of the configuration for current until after
/// the bound: a leader that was cut off from the store told news of up to 4.3 s, against 2 s.
#[test]
fn an_own_read_takes_the_place_of_old_news_within_the_bound() {
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
        let known = Bounds::max_relay_age(bound) + Span::from_millis(READ_MS + RETRY_MS);
        assert!(known < bound, "{}: {known}", case.name);
        assert!(
            Bounds::max_relay_age(bound) >= Span::from_secs(1),
            "{}",
            case.name
        );
    }
}
