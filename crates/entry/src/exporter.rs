//! Export of a process's opentelemetry metrics as a Prometheus text page.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Collects the metrics that are recorded with its meter.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without metrics.
    ///
    /// # Errors
    ///
    /// The exporter can't be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter with which the process records metrics.
    pub fn meter(&self) -> Meter {
        self.provider.meter("ragwortrill")
    }

    /// Returns the metrics as a Prometheus text page.
    pub fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!(error = error.to_string(); "metrics can't be encoded; the page is incomplete");
        }
        page
    }
}
