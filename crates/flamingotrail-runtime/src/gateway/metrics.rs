//! Metrics of a gateway, in the Prometheus text format.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use actix_http::StatusCode;
use bytes::Bytes;

use crate::connections;
use crate::connections::metrics as connection_metrics;
use crate::gateway::monitoring;
use crate::metrics as registry;

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Bounds of the latency buckets in seconds: from a log response to the longest deadline.
const LATENCY_BUCKETS: &[f64] =
    &[0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Maximum number of workspaces with series of their own.
const MAX_WORKSPACES: usize = 50;
/// Label of all other workspaces.
const OTHER_WORKSPACES: &str = "other";

/// The gateway's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    connections: connection_metrics::ConnectionMetrics,
    /// Events by name.
    events: prometheus::IntCounterVec,
    /// Requests by response status; 0 if the connection ended before a response.
    responses: prometheus::IntCounterVec,
    /// Time from a received request to the end of its response.
    response_seconds: prometheus::Histogram,
    /// Calls to the log by kind and outcome.
    log_calls: prometheus::IntCounterVec,
    /// Duration of calls to the log.
    log_seconds: prometheus::Histogram,
    /// Calls of workspaces that have an allowance, by workspace and outcome.
    workspace_calls: prometheus::IntCounterVec,
    /// Workspaces that have series of their own.
    workspaces: cell::RefCell<collections::BTreeSet<String>>,
}

impl Metrics {
    /// Creates a registry with all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered twice.
    pub fn new(connections: connections::Connections) -> Result<Self, prometheus::Error> {
        let registry = prometheus::Registry::new();
        Ok(Metrics {
            connections: connection_metrics::ConnectionMetrics::new(&registry, connections)?,
            events: registry::counter_vec(
                &registry,
                "gateway_events_total",
                "Decisions and changes by name.",
                &["event"],
            )?,
            responses: registry::counter_vec(
                &registry,
                "gateway_answers_total",
                "Callers' requests by status; 0 where the connection ended without one.",
                &["status"],
            )?,
            response_seconds: registry::histogram(
                &registry,
                "gateway_answer_seconds",
                "Time from a request to the end of its answer.",
                LATENCY_BUCKETS,
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
                LATENCY_BUCKETS,
            )?,
            workspace_calls: registry::counter_vec(
                &registry,
                "gateway_workspace_calls_total",
                "Calls of workspaces with an allowance by outcome; those of most as \"other\".",
                &["workspace", "outcome"],
            )?,
            workspaces: cell::RefCell::default(),
            registry,
        })
    }

    /// Counts an event.
    pub fn count_event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    /// Counts a call of a workspace. The first workspaces have series of their own.
    pub fn count_workspace_call(&self, workspace: &str, outcome: &str) {
        let mut workspaces = self.workspaces.borrow_mut();
        if !workspaces.contains(workspace) && workspaces.len() < MAX_WORKSPACES {
            workspaces.insert(workspace.to_owned());
        }
        let name = if workspaces.contains(workspace) { workspace } else { OTHER_WORKSPACES };
        self.workspace_calls.with_label_values(&[name, outcome]).inc();
    }

    /// Counts a caller's request by response status and records its duration.
    pub fn record_response(&self, status: u16, duration: time::Duration) {
        self.responses.with_label_values(&[status.to_string().as_str()]).inc();
        self.response_seconds.observe(duration.as_secs_f64());
    }

    /// Counts a call to the log and records its duration.
    pub fn record_log_call(&self, kind: &str, succeeded: bool, duration: time::Duration) {
        let outcome = if succeeded { "done" } else { "failed" };
        self.log_calls.with_label_values(&[kind, outcome]).inc();
        self.log_seconds.observe(duration.as_secs_f64());
    }
}

impl monitoring::Handler for rc::Rc<Metrics> {
    fn handle(&self, path: &str) -> (StatusCode, Bytes) {
        if path != METRICS_PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        self.connections.refresh();
        match prometheus::TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => {
                log::error!("event=metrics_encoding_failed error={:?}", error.to_string());
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}
