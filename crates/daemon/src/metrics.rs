//! Metrics of a daemon, by opentelemetry, as a Prometheus text page.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use ragwortrill_core::time::Span;

/// Counters and histograms of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    duration: Histogram<f64>,
    refusals: Counter<u64>,
    frames: Counter<u64>,
    appends: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ragwortrill");
        Ok(Self {
            registry,
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
            _provider: provider,
        })
    }

    pub(crate) fn answered(&self, status: u16, elapsed: Span) {
        let attributes = [KeyValue::new(
            "http.response.status_code",
            i64::from(status),
        )];
        self.duration.record(elapsed.0 as f64 / 1e6, &attributes);
    }

    pub(crate) fn refused(&self, kind: impl Into<String>) {
        let kind: String = kind.into();
        self.refusals.add(1, &[KeyValue::new("error.type", kind)]);
    }

    pub(crate) fn bad_frame(&self, reason: &'static str) {
        self.frames.add(1, &[KeyValue::new("error.type", reason)]);
    }

    pub(crate) fn appended(&self, entries: u64, result: &'static str) {
        self.appends
            .add(entries, &[KeyValue::new("result", result)]);
    }

    /// Returns the Prometheus text page.
    pub(crate) fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!("metrics can't be encoded: {error}");
        }
        page
    }
}
