//! Metrics of a daemon, recorded by opentelemetry and served as a Prometheus text page.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use ragwortrill_core::{report::Gauges, time::Span};
use ragwortrill_entry::exporter::Exporter;

/// Metrics of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    duration: Histogram<f64>,
    refusals: Counter<u64>,
    frames: Counter<u64>,
    appends: Counter<u64>,
    restored: Counter<u64>,
    gauges: NodeGauges,
}

/// Gauges of the node's state.
#[derive(Debug)]
struct NodeGauges {
    proof_age: Gauge<f64>,
    differing_peers: Gauge<u64>,
    unheard_peers: Gauge<u64>,
    unheld_targets: Gauge<u64>,
    lost_targets: Gauge<u64>,
    leaving_targets: Gauge<u64>,
    paused_targets: Gauge<u64>,
    quarantined: Gauge<u64>,
    held_targets: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            exporter,
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_description("Time from a request's arrival to the head of its answer")
                .build(),
            refusals: meter
                .u64_counter("ragwortrill.refusals")
                .with_description("Requests answered with a problem document, by type")
                .build(),
            frames: meter
                .u64_counter("ragwortrill.bad_frames")
                .with_description("Frames that were refused, by reason")
                .build(),
            appends: meter
                .u64_counter("ragwortrill.log.appends")
                .with_description("Entries appended to the log, by result")
                .build(),
            restored: meter
                .u64_counter("ragwortrill.snapshots.restored")
                .with_description("Snapshots that replaced the state")
                .build(),
            gauges: NodeGauges::new(&meter),
        })
    }

    pub(crate) fn request_answered(&self, status: u16, elapsed: Span) {
        let attributes = [KeyValue::new(
            "http.response.status_code",
            i64::from(status),
        )];
        self.duration.record(elapsed.as_secs_f64(), &attributes);
    }

    pub(crate) fn request_refused(&self, kind: impl Into<String>) {
        let kind: String = kind.into();
        self.refusals.add(1, &[KeyValue::new("error.type", kind)]);
    }

    pub(crate) fn bad_frame(&self, reason: &'static str) {
        self.frames.add(1, &[KeyValue::new("error.type", reason)]);
    }

    pub(crate) fn entries_appended(&self, entries: u64, result: &'static str) {
        self.appends
            .add(entries, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn snapshot_restored(&self) {
        self.restored.add(1, &[]);
    }

    /// Records the gauges of the node's state.
    pub(crate) fn record_gauges(&self, values: &Gauges) {
        let gauges = &self.gauges;
        let age = values.proof_age.map_or(-1.0, |age| age.as_secs_f64());
        gauges.proof_age.record(age, &[]);
        gauges.differing_peers.record(values.differing_peers, &[]);
        gauges.unheard_peers.record(values.unheard_peers, &[]);
        gauges.unheld_targets.record(values.unheld_targets, &[]);
        gauges.lost_targets.record(values.lost_targets, &[]);
        gauges.leaving_targets.record(values.leaving_targets, &[]);
        gauges.paused_targets.record(values.paused_targets, &[]);
        gauges.quarantined.record(values.quarantined, &[]);
        gauges.held_targets.record(values.held_targets, &[]);
    }

    /// Returns the Prometheus text page.
    pub(crate) fn page(&self) -> Vec<u8> {
        self.exporter.page()
    }
}

impl NodeGauges {
    fn new(meter: &Meter) -> Self {
        let count = |name, description| {
            let gauge = meter.u64_gauge(name).with_description(description);
            gauge.build()
        };
        Self {
            proof_age: meter
                .f64_gauge("ragwortrill.log.proof_age")
                .with_unit("s")
                .with_description("Age of the latest proof that no newer record exists, or -1")
                .build(),
            differing_peers: count(
                "ragwortrill.peers.differing",
                "Peers with another state at the same offset",
            ),
            unheard_peers: count(
                "ragwortrill.peers.unheard",
                "Processes that are not heard and not known to have ended",
            ),
            unheld_targets: count(
                "ragwortrill.targets.unserved",
                "Targets that no process holds",
            ),
            lost_targets: count(
                "ragwortrill.targets.lost",
                "Held targets in service that do not answer probes",
            ),
            leaving_targets: count(
                "ragwortrill.targets.leaving",
                "Held targets that have stated that they leave",
            ),
            paused_targets: count(
                "ragwortrill.targets.paused",
                "Held targets that want nothing for a time",
            ),
            quarantined: count(
                "ragwortrill.quarantine.fingerprints",
                "Fingerprints of requests that are barred",
            ),
            held_targets: count(
                "ragwortrill.targets.held",
                "Targets that this process holds",
            ),
        }
    }
}
