//! Metrics of a gateway, in the Prometheus text form.

use std::rc;
use std::time;

use actix_http::StatusCode;
use bytes::Bytes;

use crate::gateway::monitoring;
use crate::metrics as registry;

/// Path of the metrics.
const PATH: &str = "/metrics";
/// Buckets of latencies, in seconds: from an answer of the log to the longest deadline.
const SECONDS: &[f64] = &[0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// The gateway's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Decisions and changes by name.
    events: prometheus::IntCounterVec,
    /// Callers' requests by the status that they got; 0 where the connection ended without one.
    answers: prometheus::IntCounterVec,
    /// Time from a request's first byte to the end of its answer.
    answer_seconds: prometheus::Histogram,
    /// Calls to the log by kind and outcome.
    log_calls: prometheus::IntCounterVec,
    /// Time of calls to the log.
    log_seconds: prometheus::Histogram,
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
            events: registry::counter_vec(
                &registry,
                "gateway_events_total",
                "Decisions and changes by name.",
                &["event"],
            )?,
            answers: registry::counter_vec(
                &registry,
                "gateway_answers_total",
                "Callers' requests by status; 0 where the connection ended without one.",
                &["status"],
            )?,
            answer_seconds: registry::histogram(
                &registry,
                "gateway_answer_seconds",
                "Time from a request to the end of its answer.",
                SECONDS,
            )?,
            log_calls: registry::counter_vec(
                &registry,
                "gateway_log_calls_total",
                "Calls to the log by kind and outcome.",
                &["kind", "outcome"],
            )?,
            log_seconds: registry::histogram(
                &registry,
                "gateway_log_seconds",
                "Time of calls to the log.",
                SECONDS,
            )?,
            registry,
        })
    }

    /// Counts an event.
    pub fn count_event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    /// Counts an answer to a caller.
    pub fn record_response(&self, status: u16, took: time::Duration) {
        self.answers.with_label_values(&[status.to_string().as_str()]).inc();
        self.answer_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call to the log.
    pub fn record_log_call(&self, kind: &str, succeeded: bool, took: time::Duration) {
        let outcome = if succeeded { "done" } else { "failed" };
        self.log_calls.with_label_values(&[kind, outcome]).inc();
        self.log_seconds.observe(took.as_secs_f64());
    }
}

impl monitoring::Handler for rc::Rc<Metrics> {
    fn handle(&self, path: &str) -> (StatusCode, Bytes) {
        if path != PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        match prometheus::TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => {
                log::error!("event=metrics_unencodable error={:?}", error.to_string());
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}
