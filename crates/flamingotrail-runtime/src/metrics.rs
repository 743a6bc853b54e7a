//! Metrics for operators, in the Prometheus text format.

use prometheus::core;

use crate::connections;
use crate::connections::metrics as connection_metrics;

/// Histogram buckets of latencies, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.57, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// Histogram buckets of the time between tokens, in seconds.
const TOKEN_INTERVAL_BUCKETS: &[f64] = &[0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.05, 0.1, 0.5];

/// Metrics of this process.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    connections: connection_metrics::ConnectionMetrics,
    /// Number of calls by outcome and reason, as reported to callers.
    pub calls: prometheus::IntCounterVec,
    /// Time from the request to the complete response.
    pub call_seconds: prometheus::Histogram,
    /// Time from the request to the first token.
    pub first_token_seconds: prometheus::Histogram,
    /// Time between consecutive tokens.
    pub inter_token_seconds: prometheus::Histogram,
    /// Time from the start of a program to its end.
    pub program_seconds: prometheus::Histogram,
    /// Number of prompt tokens that were computed again although an engine had cached them.
    pub wasted_cache_tokens: prometheus::IntCounter,
    /// Number of events of the control thread by name.
    pub events: prometheus::IntCounterVec,
    /// Number of calls in progress that this instance owns.
    pub calls_in_progress: prometheus::IntGauge,
    /// Size of the texts of the programs that this instance owns, in bytes.
    pub program_text_bytes: prometheus::IntGauge,
    /// Their limit, in bytes.
    pub program_text_limit: prometheus::IntGauge,
    /// Number of attempts that wait for the local endpoint.
    pub queued_attempts: prometheus::IntGauge,
    /// Number of records that are not written to the journal yet.
    pub journal_lag_records: prometheus::IntGauge,
    /// Version of the current configuration.
    pub config_version: prometheus::IntGauge,
    /// Time that the control thread spent in ticks.
    pub control_seconds: prometheus::Counter,
    /// Number of bytes of control messages sent.
    pub control_bytes: prometheus::IntCounter,
    /// Number of ticks of the control thread.
    pub ticks: prometheus::IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid or registered twice.
    pub fn new(connections: connections::Connections) -> Result<Self, prometheus::Error> {
        let registry = prometheus::Registry::new();
        Ok(Metrics {
            connections: connection_metrics::ConnectionMetrics::new(&registry, connections)?,
            calls: counter_vec(
                &registry,
                "calls_total",
                "Calls by outcome.",
                &["outcome", "reason"],
            )?,
            call_seconds: histogram(
                &registry,
                "call_seconds",
                "Latency of calls.",
                LATENCY_BUCKETS,
            )?,
            first_token_seconds: histogram(
                &registry,
                "first_token_seconds",
                "Latency of the first token.",
                LATENCY_BUCKETS,
            )?,
            inter_token_seconds: histogram(
                &registry,
                "inter_token_seconds",
                "Time between tokens.",
                TOKEN_INTERVAL_BUCKETS,
            )?,
            program_seconds: histogram(
                &registry,
                "program_seconds",
                "Latency of programs.",
                LATENCY_BUCKETS,
            )?,
            wasted_cache_tokens: counter(
                &registry,
                "wasted_cache_tokens_total",
                "Prompt tokens computed again, though an engine had held them.",
            )?,
            events: counter_vec(&registry, "events_total", "Events of the decisions.", &["event"])?,
            program_text_bytes: gauge(
                &registry,
                "program_text_bytes",
                "Size of the texts of the programs that this instance owns.",
            )?,
            program_text_limit: gauge(
                &registry,
                "program_text_limit_bytes",
                "Limit of the texts of the programs that this instance owns.",
            )?,
            calls_in_progress: gauge(&registry, "calls_under_way", "Calls under way as owner.")?,
            queued_attempts: gauge(&registry, "queue", "Attempts that wait for the own endpoint.")?,
            journal_lag_records: gauge(
                &registry,
                "journal_lag_records",
                "Records that wait for the journal.",
            )?,
            config_version: gauge(&registry, "config_version", "Configuration in force.")?,
            control_seconds: {
                let opts = metric_opts("control_seconds_total", "Processor time of ticks.");
                register(&registry, prometheus::Counter::with_opts(opts)?)?
            },
            control_bytes: counter(
                &registry,
                "control_bytes_total",
                "Bytes of control messages sent.",
            )?,
            ticks: counter(&registry, "ticks_total", "Ticks of the control thread.")?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.connections.refresh();
        let families = self.registry.gather();
        prometheus::TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}

fn metric_opts(name: &str, help: &str) -> prometheus::Opts {
    prometheus::Opts::new(format!("flamingotrail_{name}"), help)
}

fn register<C: core::Collector + Clone + 'static>(
    registry: &prometheus::Registry,
    collector: C,
) -> Result<C, prometheus::Error> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn counter(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
) -> Result<prometheus::IntCounter, prometheus::Error> {
    register(registry, prometheus::IntCounter::with_opts(metric_opts(name, help))?)
}

pub(crate) fn counter_vec(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::IntCounterVec, prometheus::Error> {
    register(registry, prometheus::IntCounterVec::new(metric_opts(name, help), labels)?)
}

fn gauge(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
) -> Result<prometheus::IntGauge, prometheus::Error> {
    register(registry, prometheus::IntGauge::with_opts(metric_opts(name, help))?)
}

pub(crate) fn gauge_vec(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::IntGaugeVec, prometheus::Error> {
    register(registry, prometheus::IntGaugeVec::new(metric_opts(name, help), labels)?)
}

pub(crate) fn histogram(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<prometheus::Histogram, prometheus::Error> {
    let opts = prometheus::HistogramOpts::from(metric_opts(name, help)).buckets(buckets.to_vec());
    register(registry, prometheus::Histogram::with_opts(opts)?)
}
