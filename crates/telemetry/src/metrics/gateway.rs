//! Metrics of a gateway.

use std::time::Duration;

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// Upper bounds in seconds of the ages of states; acknowledged changes must be in force within 2 s.
const STATE_AGE_SECONDS_BUCKETS: &[f64] = &[0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0];

/// Metrics that a gateway records.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    outcomes: IntCounterVec,
    request_seconds: HistogramVec,
    server_seconds: HistogramVec,
    state_age_seconds: Histogram,
    retries: IntCounterVec,
    suspected: IntCounterVec,
    /// Requests in flight.
    pub requests_in_flight: IntGauge,
    /// Open connections of clients.
    pub client_connections: IntGauge,
    /// Open connections to servers.
    pub server_connections: IntGauge,
    /// Log index of the directory state in force.
    pub applied_index: IntGauge,
    /// Time in milliseconds since the last message of the directory's leader; -1 before the first one.
    pub leader_age_ms: IntGauge,
    /// Time in milliseconds since which acknowledged changes may be missing in the state in force; -1 if unknown.
    pub state_age_ms: IntGauge,
    /// Connections to directory replicas and relays.
    pub directory_links: IntGauge,
    /// Estimated time in milliseconds that bytes wait for this machine's network link.
    pub link_wait_ms: IntGauge,
    /// Requests sent to servers by a state that may lack changes that were acknowledged some time ago.
    pub sent_by_outdated_state: IntCounter,
    /// Responses of servers that belonged to another request.
    pub foreign_answers: IntCounter,
    /// Connections to servers closed because bytes arrived on them while they were idle.
    pub surplus_answers: IntCounter,
    /// Servers that currently state a request rate.
    pub servers_stating_rates: IntGauge,
    /// Requests sent to servers that had stated a rate.
    pub sent_at_stated_rates: IntCounter,
    /// Servers in a cooldown, a time for which they asked to receive no requests.
    pub servers_cooling_down: IntGauge,
    /// Requests sent to servers during their cooldown.
    pub sent_in_cooldowns: IntCounter,
    /// Servers known to be leaving that have not ended.
    pub servers_leaving: IntGauge,
    /// Items, servers, zones and requests touched by changes that are undecided without a leader.
    pub undecided_changes: IntGauge,
    /// Servers to which the last attempts to connect failed.
    pub servers_unreachable: IntGauge,
    /// 1 while the paths to all servers are lost, 0 otherwise.
    pub cut_off: IntGauge,
    /// Requests sent through another gateway because their server was out of reach.
    pub forwarded_requests: IntCounter,
    /// Time in milliseconds since bytes of any server arrived; -1 before the first.
    pub server_silence_ms: IntGauge,
    unusable_fields: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers all metrics of a gateway.
    ///
    /// # Errors
    /// A name is already registered.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            outcomes: metrics.counters(
                "gateway_requests_total",
                "Requests by service, status and reason; reason is empty for a server's own answer",
                &["service", "status", "reason"],
            )?,
            request_seconds: metrics.histograms(
                "gateway_request_seconds",
                "Time from a request's first byte to its answer",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            server_seconds: metrics.histograms(
                "gateway_server_seconds",
                "Time that requests were at a server",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            state_age_seconds: metrics.histogram(
                "gateway_sent_state_age_seconds",
                "Age of the state by which requests were sent to servers, where it is known",
                STATE_AGE_SECONDS_BUCKETS,
            )?,
            sent_by_outdated_state: metrics.counter(
                "gateway_sent_by_outdated_state_total",
                "Requests sent to servers by a state that may lack acknowledged changes",
            )?,
            retries: metrics.counters(
                "gateway_retries_total",
                "Requests sent to a server once more, by what was known of the sending before",
                &["service", "verdict"],
            )?,
            suspected: metrics.counters(
                "gateway_servers_suspected_total",
                "Times that a server was set aside",
                &["reason"],
            )?,
            requests_in_flight: metrics
                .gauge("gateway_requests_under_way", "Requests under way")?,
            client_connections: metrics
                .gauge("gateway_client_connections", "Connections of clients")?,
            server_connections: metrics
                .gauge("gateway_server_connections", "Connections to servers")?,
            applied_index: metrics
                .gauge("gateway_applied_index", "Log index of the state in force")?,
            leader_age_ms: metrics.gauge(
                "gateway_leader_age_milliseconds",
                "Time since the directory's leader last spoke; -1 before the first time",
            )?,
            state_age_ms: metrics.gauge(
                "gateway_state_age_milliseconds",
                "Time since which acknowledged changes may be missing in the state; -1 if unknown",
            )?,
            link_wait_ms: metrics.gauge(
                "gateway_link_wait_milliseconds",
                "Time that bytes wait for this machine's link",
            )?,
            directory_links: metrics.gauge(
                "gateway_directory_links",
                "Links to replicas of the directory and to relays",
            )?,
            foreign_answers: metrics.counter(
                "gateway_foreign_answers_total",
                "Answers that belonged to another request",
            )?,
            surplus_answers: metrics.counter(
                "gateway_surplus_answers_total",
                "Idle connections on which a server sent bytes that answer no request",
            )?,
            servers_stating_rates: metrics.gauge(
                "gateway_servers_stating_rates",
                "Servers that state how many requests a second they take",
            )?,
            sent_at_stated_rates: metrics.counter(
                "gateway_sent_at_stated_rates_total",
                "Requests sent to servers that stated a rate before",
            )?,
            servers_cooling_down: metrics.gauge(
                "gateway_servers_cooling_down",
                "Servers that asked for no requests for a time that is not over",
            )?,
            sent_in_cooldowns: metrics.counter(
                "gateway_sent_in_cooldowns_total",
                "Requests sent to servers within the time for which they asked for none",
            )?,
            servers_leaving: metrics.gauge(
                "gateway_servers_leaving",
                "Servers that are known to leave and have not ended",
            )?,
            undecided_changes: metrics.gauge(
                "gateway_undecided_changes",
                "Items, servers, zones and requests touched by changes that are undecided without a leader",
            )?,
            servers_unreachable: metrics.gauge(
                "gateway_servers_unreachable",
                "Servers to which the last attempts to connect failed",
            )?,
            cut_off: metrics.gauge(
                "gateway_cut_off",
                "1 while the paths of this gateway to all servers are lost",
            )?,
            forwarded_requests: metrics.counter(
                "gateway_forwarded_requests_total",
                "Requests sent through another gateway because their server was out of reach",
            )?,
            server_silence_ms: metrics.gauge(
                "gateway_server_silence_milliseconds",
                "Time since any server was heard; -1 before the first",
            )?,
            unusable_fields: metrics.counters(
                "gateway_unusable_fields_total",
                "Fields of servers' answers that could not be used, by name",
                &["field"],
            )?,
        })
    }

    /// Records the age of the state by which a request is sent to a server; `None` if it is not known.
    pub fn note_sent(&self, state_age: Option<Duration>) {
        if let Some(age) = state_age {
            self.state_age_seconds.observe(age.as_secs_f64());
        }
    }

    /// Counts a response and records the time that the request took. `reason` is empty for a response of a
    /// server.
    pub fn note_answer(&self, service: &str, status: u16, reason: &str, took: Duration) {
        let status = status.to_string();
        self.outcomes
            .with_label_values(&[service, status.as_str(), reason])
            .inc();
        self.request_seconds
            .with_label_values(&[service])
            .observe(took.as_secs_f64());
    }

    /// Counts a request that was rejected with status 503 before admission.
    pub fn note_rejected(&self, service: &str, reason: &str) {
        self.outcomes
            .with_label_values(&[service, "503", reason])
            .inc();
    }

    /// Records the time that a request spent at a server.
    pub fn note_server(&self, service: &str, took: Duration) {
        self.server_seconds
            .with_label_values(&[service])
            .observe(took.as_secs_f64());
    }

    /// Counts a retry; `verdict` describes the previous attempt.
    pub fn note_retry(&self, service: &str, verdict: &str) {
        self.retries.with_label_values(&[service, verdict]).inc();
    }

    /// Counts a field of a server's response that could not be used.
    pub fn note_unusable_field(&self, field: &str) {
        self.unusable_fields.with_label_values(&[field]).inc();
    }

    /// Counts the temporary exclusion of a server.
    pub fn note_suspected(&self, reason: &str) {
        self.suspected.with_label_values(&[reason]).inc();
    }
}
