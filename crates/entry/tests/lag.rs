//! Lag of a host's event loop.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_entry::lag::{INTERVAL, Lag};

struct Case {
    name: &'static str,
    /// Lags of the measurements, one after another.
    measured_ms: &'static [u64],
    /// Time from the last measurement until the lag is asked for.
    later: Span,
    current_ms: u64,
    recent_ms: u64,
}

/// Guards against a host that takes what waited during a pause of its event loop for new: requests
/// that had lain unread for 4 s were sent to targets although their callers had left.
#[test]
fn lag_shows_a_pause_before_and_after_it_is_measured() {
    let cases = [
        Case {
            name: "measurements on time",
            measured_ms: &[0, 0, 0],
            later: Span::ZERO,
            current_ms: 0,
            recent_ms: 0,
        },
        Case {
            name: "pause that is not measured yet",
            measured_ms: &[0],
            later: INTERVAL + Span::from_millis(4_000),
            current_ms: 4_000,
            recent_ms: 4_000,
        },
        Case {
            name: "pause that was just measured",
            measured_ms: &[0, 4_000],
            later: Span::ZERO,
            current_ms: 4_000,
            recent_ms: 4_000,
        },
        Case {
            name: "pause before the last measurement",
            measured_ms: &[4_000, 300],
            later: Span::ZERO,
            current_ms: 300,
            recent_ms: 4_000,
        },
        Case {
            name: "pause that is long over",
            measured_ms: &[4_000, 2_000, 0],
            later: Span::ZERO,
            current_ms: 0,
            recent_ms: 2_000,
        },
    ];
    for case in cases {
        let mut now = Instant(Span::from_secs(1).0);
        let lag = Lag::new(now);
        for late_ms in case.measured_ms {
            now = now + INTERVAL + Span::from_millis(*late_ms);
            lag.record(now);
        }
        now = now + case.later;
        let (current, recent) = (lag.current(now), lag.recent(now));
        assert_eq!(current.as_millis(), case.current_ms, "{}", case.name);
        assert_eq!(recent.as_millis(), case.recent_ms, "{}", case.name);
    }
}
