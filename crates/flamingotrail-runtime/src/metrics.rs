//! Metrics for operators, in the Prometheus text form.

use prometheus::core;

/// Buckets of latencies, in seconds.
const SECONDS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.57, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// Buckets of gaps between tokens, in seconds.
const GAPS: &[f64] = &[0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.05, 0.1, 0.5];

/// The process's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Calls by outcome and reason, as told to callers.
    pub calls: prometheus::IntCounterVec,
    /// Time from request to complete answer.
    pub call_seconds: prometheus::Histogram,
    /// Time from request to first token.
    pub first_token_seconds: prometheus::Histogram,
    /// Time between tokens.
    pub inter_token_seconds: prometheus::Histogram,
    /// Time from a program's start to its end.
    pub program_seconds: prometheus::Histogram,
    /// Cached tokens that were held when their program ended, or computed again.
    pub wasted_cache_tokens: prometheus::IntCounter,
    /// Events of the decisions by name.
    pub events: prometheus::IntCounterVec,
    /// Calls under way here as owner.
    pub calls_under_way: prometheus::IntGauge,
    /// Attempts that wait for the own endpoint.
    pub queue: prometheus::IntGauge,
    /// Records that wait for the journal.
    pub journal_lag_records: prometheus::IntGauge,
    /// Version of the configuration in force.
    pub config_version: prometheus::IntGauge,
    /// Processor time of the control thread's ticks.
    pub control_seconds: prometheus::Counter,
    /// Bytes of control messages sent.
    pub control_bytes: prometheus::IntCounter,
    /// Ticks.
    pub ticks: prometheus::IntCounter,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// A name that stands twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = prometheus::Registry::new();
        Ok(Metrics {
            calls: counter_vec(
                &registry,
                "calls_total",
                "Calls by outcome.",
                &["outcome", "reason"],
            )?,
            call_seconds: histogram(&registry, "call_seconds", "Latency of calls.", SECONDS)?,
            first_token_seconds: histogram(
                &registry,
                "first_token_seconds",
                "Latency of the first token.",
                SECONDS,
            )?,
            inter_token_seconds: histogram(
                &registry,
                "inter_token_seconds",
                "Time between tokens.",
                GAPS,
            )?,
            program_seconds: histogram(
                &registry,
                "program_seconds",
                "Latency of programs.",
                SECONDS,
            )?,
            wasted_cache_tokens: counter(
                &registry,
                "wasted_cache_tokens_total",
                "Prompt tokens computed again, though an engine had held them.",
            )?,
            events: counter_vec(&registry, "events_total", "Events of the decisions.", &["event"])?,
            calls_under_way: gauge(&registry, "calls_under_way", "Calls under way as owner.")?,
            queue: gauge(&registry, "queue", "Attempts that wait for the own endpoint.")?,
            journal_lag_records: gauge(
                &registry,
                "journal_lag_records",
                "Records that wait for the journal.",
            )?,
            config_version: gauge(&registry, "config_version", "Configuration in force.")?,
            control_seconds: {
                let opts = opts("control_seconds_total", "Processor time of ticks.");
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

    /// The text form of every metric.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        prometheus::TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}

fn opts(name: &str, help: &str) -> prometheus::Opts {
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
    register(registry, prometheus::IntCounter::with_opts(opts(name, help))?)
}

pub(crate) fn counter_vec(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::IntCounterVec, prometheus::Error> {
    register(registry, prometheus::IntCounterVec::new(opts(name, help), labels)?)
}

fn gauge(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
) -> Result<prometheus::IntGauge, prometheus::Error> {
    register(registry, prometheus::IntGauge::with_opts(opts(name, help))?)
}

pub(crate) fn histogram(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<prometheus::Histogram, prometheus::Error> {
    let opts = prometheus::HistogramOpts::from(opts(name, help)).buckets(buckets.to_vec());
    register(registry, prometheus::Histogram::with_opts(opts)?)
}
