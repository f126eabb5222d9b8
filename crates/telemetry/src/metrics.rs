//! Metrics of a daemon and their text form for `GET /metrics`.
//!
//! Invariant: every name starts with `grebepin_`, ends in its unit, and is registered once.

mod control;
mod directory;
mod gateway;
mod router;

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

pub use control::ControlMetrics;
pub use directory::DirectoryMetrics;
pub use gateway::GatewayMetrics;
pub use prometheus::{Histogram, IntCounter as Counter, IntGauge as Gauge};
pub use router::{RouterMetrics, ServiceMetrics};

/// Prefix of every metric's name.
const NAMESPACE: &str = "grebepin";

/// Content type of [`Metrics::render`]'s text.
pub const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Upper bounds in seconds of the buckets of request times, from 0.5 ms to 10 s.
pub const REQUEST_SECONDS_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.012, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    5.0, 10.0,
];

/// Upper bounds in seconds of the buckets of disk syncs, from 0.1 ms to 1 s.
pub const SYNC_SECONDS_BUCKETS: &[f64] = &[
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
];

/// Why a metric could not be made or rendered.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The name is taken or malformed, or the labels don't fit.
    #[error("metric {name}: {source}")]
    Register {
        /// Name of the metric.
        name: String,
        /// What the library says.
        source: prometheus::Error,
    },
    /// The registry could not be rendered.
    #[error("metrics do not render: {0}")]
    Render(prometheus::Error),
}

/// The metrics of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// A counter named `grebepin_NAME`.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.register(name, IntCounter::with_opts(options(name, help)))
    }

    /// Counters told apart by labels.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        self.register(name, IntCounterVec::new(options(name, help), labels))
    }

    /// A gauge named `grebepin_NAME`.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.register(name, IntGauge::with_opts(options(name, help)))
    }

    /// Gauges told apart by labels.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, MetricsError> {
        self.register(name, IntGaugeVec::new(options(name, help), labels))
    }

    /// A histogram with the stated upper bounds of its buckets.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, MetricsError> {
        let options = histogram_options(name, help, buckets);
        self.register(name, Histogram::with_opts(options))
    }

    /// Histograms told apart by labels.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec, MetricsError> {
        let options = histogram_options(name, help, buckets);
        self.register(name, HistogramVec::new(options, labels))
    }

    /// Every metric in Prometheus' text form, see [`METRICS_CONTENT_TYPE`].
    pub fn render(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(MetricsError::Render)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    fn register<T: Collector + Clone + 'static>(
        &self,
        name: &str,
        made: Result<T, prometheus::Error>,
    ) -> Result<T, MetricsError> {
        let failed = |source| MetricsError::Register {
            name: name.to_owned(),
            source,
        };
        let metric = made.map_err(failed)?;
        self.registry
            .register(Box::new(metric.clone()))
            .map_err(failed)?;
        Ok(metric)
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}

fn histogram_options(name: &str, help: &str, buckets: &[f64]) -> HistogramOpts {
    HistogramOpts::new(name, help)
        .namespace(NAMESPACE)
        .buckets(buckets.to_vec())
}
