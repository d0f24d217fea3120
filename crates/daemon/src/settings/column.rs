//! Fields of the settings, with their ranges, defaults and remedies.

use ragwortrill_core::{
    table_file::{Duration, Number},
    time::Span,
};

const HOUR: Span = Span::from_secs(3_600);
const YEAR: Span = Span::from_secs(365 * 86_400);

pub(super) const WORKERS: Number = Number {
    name: "workers",
    range: (1, 64),
    default: Some(2),
    remedy: "use one thread or two for each core",
};
pub(super) const DRAIN_LIMIT: Duration = Duration {
    name: "drain_limit",
    range: (Span::from_secs(1), HOUR),
    default: Some(Span::from_secs(60)),
    remedy: "state how long a stopping daemon waits for its requests",
};
pub(super) const RETENTION: Duration = Duration {
    name: "log_retention",
    range: (Span::from_secs(60), YEAR),
    default: Some(Span::from_secs(86_400)),
    remedy: "state how long the log service keeps a record",
};
pub(super) const SNAPSHOT_RECORDS: Number = Number {
    name: "snapshot_records",
    range: (100, 1_000_000),
    default: Some(10_000),
    remedy: "state after how many records a snapshot is written",
};
pub(super) const SNAPSHOT_PERCENT: Number = Number {
    name: "snapshot_percent",
    range: (1, 90),
    default: Some(33),
    remedy: "state the part of the log's retention after which a snapshot is written",
};
