//! Reads the time limits of the protocol from the settings.

use std::cell::RefCell;

use ragwortrill_core::{
    table_file::{Duration, Fault, Number, Row},
    time::Span,
    times::Times,
};

const REMEDY: &str = "remove the field to use the default, and use the same value at all daemons";

const MIN_SPAN: Span = Span::from_millis(1);
const MAX_SPAN: Span = Span::from_secs(86_400);

/// Maximum drift of clocks. At a drift of a half, waiting for the end of a lease would take three
/// times its length.
const MAX_DRIFT_PPM: u32 = 500_000;

/// Reads the time limits. Absent fields get their defaults.
pub(super) fn read(settings: &Row, faults: &RefCell<Vec<Fault>>) -> Times {
    let default = Times::default();
    let Some(value) = settings.get("times") else {
        return default;
    };
    let row = Row::new(settings.path("times"), value, faults);
    let span = |name, default| {
        let length = Duration {
            name,
            range: (MIN_SPAN, MAX_SPAN),
            default: Some(default),
            remedy: REMEDY,
        };
        row.span(&length).unwrap_or(default)
    };
    let drift = Number {
        name: "drift_ppm",
        range: (0, MAX_DRIFT_PPM),
        default: Some(default.drift_ppm as u32),
        remedy: REMEDY,
    };
    let times = Times {
        heartbeat: span("heartbeat", default.heartbeat),
        suspicion: span("suspicion", default.suspicion),
        second_standby: span("second_standby", default.second_standby),
        lease: span("lease", default.lease),
        drift_ppm: row.number(&drift).map_or(default.drift_ppm, u64::from),
        margin: span("margin", default.margin),
        outsider_wait: span("outsider_wait", default.outsider_wait),
        log_wait: span("log_wait", default.log_wait),
        probe: span("probe", default.probe),
        target_lost: span("target_lost", default.target_lost),
        grant: span("grant", default.grant),
        grant_renewal: span("grant_renewal", default.grant_renewal),
    };
    row.finish();
    check_relations(&row, &times);
    times
}

/// Checks the relations that the protocol needs to make progress.
fn check_relations(row: &Row, times: &Times) {
    let pairs = [
        ("suspicion", times.suspicion, "heartbeat", times.heartbeat),
        ("lease", times.lease, "heartbeat", times.heartbeat),
        ("lease", times.lease, "log_wait", times.log_wait),
        ("outsider_wait", times.outsider_wait, "lease", times.lease),
        ("target_lost", times.target_lost, "probe", times.probe),
        ("grant", times.grant, "grant_renewal", times.grant_renewal),
    ];
    for (field, value, other, bound) in pairs {
        if value <= bound {
            let range = format!("more than {other}, which is {bound}");
            row.reject(field, &value.to_string(), &range, "raise it");
        }
    }
}
