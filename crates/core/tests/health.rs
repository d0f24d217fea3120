//! Health of a target: slow start, restarts, lasting slowness, loss and misleading load reports.

use ragwortrill_core::{
    health::{Health, Observation, Settings, State},
    hint::{Hint, LoadReport},
    latency::Histogram,
    ramp::Ramp,
    time::{Instant, Span},
};

const REFERENCE: Span = Span::from_millis(20);

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

fn warm() -> Health {
    let mut health = Health::new(at(0), Settings::default());
    health.observe(at(0), Observation::Probed(1));
    health.assume_warm();
    health
}

/// Observes 20 answers per second with a latency and returns the state at the end.
fn answer(health: &mut Health, from_ms: u64, to_ms: u64, latency: Span) -> State {
    for millis in (from_ms..to_ms).step_by(50) {
        health.observe(at(millis), Observation::Answered(latency));
        health.check(at(millis), Some(REFERENCE));
    }
    health.state()
}

/// Guards against a limit that many answers raise above the slow start.
#[test]
fn the_limit_never_exceeds_the_ramp() {
    let span = Span::from_secs(20);
    let mut ramp = Ramp::new(at(0), 6, span);
    for millis in 0..25_000 {
        ramp.record_answer(at(millis));
        let allowed = 1.0 + 5.0 * (millis as f64 / 20_000.0).min(1.0);
        assert!(
            f64::from(ramp.limit(at(millis))) <= allowed,
            "at {millis} ms"
        );
    }
    assert_eq!(ramp.limit(at(25_000)), 6);
}

/// Guards against a limit that grows with time although the target has answered nothing.
#[test]
fn the_limit_grows_only_with_answers() {
    let mut ramp = Ramp::new(at(0), 6, Span::from_secs(20));
    assert_eq!(ramp.limit(at(60_000)), 1);
    (0..9).for_each(|_| ramp.record_answer(at(60_000)));
    assert_eq!(ramp.limit(at(60_000)), 1);
    ramp.record_answer(at(60_000));
    assert_eq!(ramp.limit(at(60_000)), 2);
}

/// Guards against an unchanged limit for a target that sheds load.
#[test]
fn shedding_halves_the_limit() {
    let mut health = warm();
    assert_eq!(health.limit(at(0)), 6);
    health.observe(at(1), Observation::Shed);
    assert_eq!(health.limit(at(1)), 3);
    assert_eq!(health.state(), State::Cold);
}

/// Guards against full load on a target that may have restarted: until a probe shows its start
/// identifier, and afterwards if it did restart.
#[test]
fn a_broken_connection_caps_the_limit_until_the_start_id_is_known() {
    for (start_id, expected) in [(1, 6), (2, 1)] {
        let mut health = warm();
        health.observe(at(10), Observation::Broken);
        assert_eq!(health.limit(at(10)), 1);
        health.observe(at(20), Observation::Probed(start_id));
        assert_eq!(health.limit(at(20)), expected);
    }
}

struct Slowness {
    name: &'static str,
    slow_ms: u64,
    latency: Span,
    expected: State,
}

/// Guards against moves because of brief slowness, and against lasting slowness that is not
/// detected.
#[test]
fn only_lasting_slowness_counts() {
    let cases = [
        Slowness {
            name: "brief",
            slow_ms: 5_000,
            latency: Span::from_millis(100),
            expected: State::Warm,
        },
        Slowness {
            name: "lasting",
            slow_ms: 15_000,
            latency: Span::from_millis(100),
            expected: State::Slow,
        },
        Slowness {
            name: "lasting but mild",
            slow_ms: 60_000,
            latency: Span::from_millis(30),
            expected: State::Warm,
        },
    ];
    for case in cases {
        let mut health = warm();
        answer(&mut health, 0, 5_000, REFERENCE);
        let end = 5_000 + case.slow_ms;
        let state = answer(&mut health, 5_000, end, case.latency);
        assert_eq!(state, case.expected, "{}", case.name);
        let after = answer(&mut health, end, end + 20_000, REFERENCE);
        assert_eq!(after, State::Warm, "{}", case.name);
    }
}

/// Guards against a state that oscillates with the latency of a target.
#[test]
fn alternating_speed_does_not_flap() {
    let mut health = warm();
    let mut changes = 0;
    let mut last = health.state();
    for turn in 0..40 {
        let latency = match turn % 2 {
            0 => Span::from_millis(100),
            _ => REFERENCE,
        };
        let state = answer(&mut health, turn * 4_000, turn * 4_000 + 4_000, latency);
        changes += u32::from(state != last);
        last = state;
    }
    assert!(changes <= 1, "{changes} changes");
}

struct Loss {
    failure: Observation,
    silent_ms: u64,
    expected: State,
}

/// Guards against a lost target that keeps its slices, and against a target that loses them after a
/// shorter silence than the loss timeout.
#[test]
fn a_target_is_lost_after_the_loss_timeout() {
    let case = |failure, silent_ms, expected| Loss {
        failure,
        silent_ms,
        expected,
    };
    let cases = [
        case(Observation::Silent, 900, State::Warm),
        case(Observation::Silent, 1_000, State::Frozen),
        case(Observation::Unreachable, 1_000, State::Lost),
    ];
    for case in cases {
        let mut health = warm();
        health.observe(at(1_000), Observation::Answered(REFERENCE));
        health.observe(at(1_250), case.failure);
        let state = health.check(at(1_000 + case.silent_ms), None);
        assert_eq!(state, case.expected);
        health.observe(at(3_000), Observation::Probed(1));
        let back = match case.expected {
            State::Warm => State::Warm,
            _ => State::Cold,
        };
        assert_eq!(health.check(at(3_000), None), back);
    }
}

/// Guards against load reports that outweigh the holder's own observations.
#[test]
fn load_reports_have_limited_weight_and_lose_trust_by_contradiction() {
    let mut hint = Hint::default();
    let idle = LoadReport {
        load_percent: 0,
        start_id: 1,
    };
    for millis in 0..10 {
        hint.record(at(millis), &idle, Some(100));
    }
    assert_eq!(hint.trust(), 8);
    assert_eq!(hint.factor_percent(at(10)), 75);
    for millis in 10..20 {
        hint.record(at(millis), &idle, Some(500));
    }
    assert_eq!(hint.trust(), 0);
    assert_eq!(hint.factor_percent(at(20)), 100);
    let busy = LoadReport {
        load_percent: 4_000,
        start_id: 1,
    };
    hint.record(at(30), &busy, None);
    assert!(hint.factor_percent(at(30)) <= 125);
    assert_eq!(hint.factor_percent(at(5_000)), 100, "stale");
}

/// Guards against quantiles with a larger error than the bucket width causes.
#[test]
fn quantiles_are_within_seven_per_cent() {
    let mut histogram = Histogram::default();
    for millis in 1..=1_000 {
        histogram.record(Span::from_millis(millis));
    }
    for (per_mille, exact) in [(500, 500_000), (900, 900_000), (990, 990_000)] {
        let found = histogram.quantile(per_mille).expect("has samples").0;
        let error = (found as f64 / exact as f64 - 1.0).abs();
        assert!(error < 0.07, "{per_mille}: {found}");
    }
    assert_eq!(Histogram::default().quantile(500), None);
}
