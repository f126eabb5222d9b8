//! Metrics of a router.

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// What a router counts.
#[derive(Clone, Debug)]
pub struct RouterMetrics {
    requests: IntCounterVec,
    rejects: IntCounterVec,
    retries: IntCounterVec,
    in_flight: IntGaugeVec,
    waiting: IntGaugeVec,
    request_seconds: HistogramVec,
    /// Log index of the routing table in force; 0 before the first.
    pub table_index: IntGauge,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: IntGauge,
    /// 1 while a control replica confirms the table, else 0.
    pub table_is_current: IntGauge,
    /// Connections of callers now.
    pub caller_connections: IntGauge,
    /// Connections of callers refused at the limit.
    pub refused_connections: IntCounter,
    /// Connections to back ends closed for a late or crossed answer.
    pub mismatched_answers: IntCounter,
}

impl RouterMetrics {
    /// Registers every metric of a router.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            requests: metrics.counters(
                "router_requests_total",
                "Requests of callers by outcome",
                &["service", "outcome"],
            )?,
            rejects: metrics.counters(
                "router_rejects_total",
                "Requests that the router answered by itself",
                &["service", "kind"],
            )?,
            retries: metrics.counters(
                "router_retries_total",
                "Attempts sent again",
                &["service"],
            )?,
            in_flight: metrics.gauges("router_in_flight", "Requests at back ends", &["service"])?,
            waiting: metrics.gauges("router_waiting", "Requests in queues", &["service"])?,
            request_seconds: metrics.histograms(
                "router_request_seconds",
                "Time from a request's arrival to its answer",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            table_index: metrics.gauge("router_table_index", "Log index of the table in force")?,
            bundle_version: metrics
                .gauge("router_bundle_version", "Version of the bundle in force")?,
            table_is_current: metrics.gauge(
                "router_table_is_current",
                "1 while control confirms the table",
            )?,
            caller_connections: metrics
                .gauge("router_caller_connections", "Connections of callers")?,
            refused_connections: metrics
                .counter("router_refused_connections_total", "Connections refused")?,
            mismatched_answers: metrics.counter(
                "router_mismatched_answers_total",
                "Connections closed for a late or crossed answer",
            )?,
        })
    }

    /// The metrics of one service; make them once, since each call looks the labels up.
    pub fn service(&self, service: &str) -> ServiceMetrics {
        ServiceMetrics {
            service: service.to_owned(),
            requests: self.requests.clone(),
            rejects: self.rejects.clone(),
            retries: self.retries.with_label_values(&[service]),
            in_flight: self.in_flight.with_label_values(&[service]),
            waiting: self.waiting.with_label_values(&[service]),
            request_seconds: self.request_seconds.with_label_values(&[service]),
        }
    }
}

/// What a router counts for one service.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    service: String,
    requests: IntCounterVec,
    rejects: IntCounterVec,
    /// Attempts sent again.
    pub retries: IntCounter,
    /// Requests at back ends now.
    pub in_flight: IntGauge,
    /// Requests in queues now.
    pub waiting: IntGauge,
    /// Time from a request's arrival to its answer in seconds.
    pub request_seconds: Histogram,
}

impl ServiceMetrics {
    /// Counts a request that ended with this outcome (`answered`, `not-run` or `unknown`).
    pub fn finished(&self, outcome: &str, seconds: f64) {
        self.requests
            .with_label_values(&[self.service.as_str(), outcome])
            .inc();
        self.request_seconds.observe(seconds);
    }

    /// Counts a request that the router answered by itself, by the kind of the rejection.
    pub fn rejected(&self, kind: &str) {
        self.rejects
            .with_label_values(&[self.service.as_str(), kind])
            .inc();
    }
}
