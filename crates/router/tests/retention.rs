//! State of targets that have ended.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::retention::{Retention, UNLISTED_TTL};

struct Case {
    name: &'static str,
    /// Seconds at which the list of targets is read, and whether the target is in it.
    listed: &'static [(u64, bool)],
    is_kept: bool,
}

/// Guards against hosts that keep the state of each target that ever ran, and walk all of it in each
/// exchange with the leader, and against the loss of what a target has stated during an outage.
#[test]
fn state_of_a_target_outlasts_its_entry_for_a_time_only() {
    let ttl_s = UNLISTED_TTL.as_millis() / 1_000;
    assert_eq!(ttl_s, 120);
    let cases = [
        Case {
            name: "listed",
            listed: &[(0, true), (300, true)],
            is_kept: true,
        },
        Case {
            name: "gone for a short time",
            listed: &[(0, true), (1, false), (120, false)],
            is_kept: true,
        },
        Case {
            name: "gone",
            listed: &[(0, true), (1, false), (121, false)],
            is_kept: false,
        },
        Case {
            name: "never listed",
            listed: &[(0, false), (120, false)],
            is_kept: false,
        },
        Case {
            name: "back after an outage, and gone again",
            listed: &[(0, false), (100, true), (110, false), (229, false)],
            is_kept: true,
        },
    ];
    for case in cases {
        let mut retention = Retention::default();
        let mut is_kept = true;
        for (at, is_listed) in case.listed {
            let now = Instant::default() + Span::from_secs(1_000 + at);
            is_kept = retention.record(now, *is_listed);
        }
        assert_eq!(is_kept, case.is_kept, "{}", case.name);
    }
}
