//! Waits derived from the time limits.

use ragwortrill_core::{time::Span, times::Times};
use test_case::test_case;

/// Guards against an extension by promises that, through rounding, ends after an outsider's wait.
#[test_case(8, 2, 333_333; "model")]
#[test_case(3_600_000_000, 50_000, 10_000; "default")]
#[test_case(7, 0, 333_333; "no margin")]
#[test_case(1, 5, 10_000; "margin above wait")]
fn extension_ends_before_an_outsider_acts(wait: u64, margin: u64, drift_ppm: u64) {
    let times = Times {
        outsider_wait: Span(wait),
        margin: Span(margin),
        drift_ppm,
        ..Times::default()
    };
    let extension = u128::from(times.max_extension().0);
    let slow = extension * u128::from(1_000_000 + drift_ppm);
    let allowed = u128::from(wait.saturating_sub(margin)) * u128::from(1_000_000 - drift_ppm);
    assert!(slow <= allowed, "{slow} > {allowed}");
}
