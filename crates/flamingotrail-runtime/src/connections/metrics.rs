//! Metrics of what a process holds for its clients.

use crate::connections;
use crate::connections::report;
use crate::metrics as registry;

/// Gauges and counters, which are set when the metrics are read.
#[derive(Clone)]
pub struct ConnectionMetrics {
    connections: connections::Connections,
    /// What is held at present, by kind.
    held: prometheus::IntGaugeVec,
    /// Limits, by kind.
    limits: prometheus::IntGaugeVec,
    /// Refused requests and closed connections, by cause.
    limited: prometheus::IntCounterVec,
}

impl ConnectionMetrics {
    /// Registers the metrics of `connections`.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered twice.
    pub fn new(
        registry: &prometheus::Registry,
        connections: connections::Connections,
    ) -> Result<Self, prometheus::Error> {
        Ok(ConnectionMetrics {
            connections,
            held: registry::gauge_vec(
                registry,
                "clients_held",
                "What is held for clients: connections, bytes of requests and of responses.",
                &["kind"],
            )?,
            limits: registry::gauge_vec(
                registry,
                "clients_limit",
                "Limits of what is held for clients.",
                &["kind"],
            )?,
            limited: registry::counter_vec(
                registry,
                "clients_limited_total",
                "Requests refused and connections closed at a limit, by cause.",
                &["cause"],
            )?,
        })
    }

    /// Sets the metrics to the present state.
    pub fn refresh(&self) {
        let (usage, limits) = (self.connections.usage(), self.connections.limits());
        let (buffers, link_queues) = (self.connections.buffers(), self.connections.link_queues());
        let kinds = [
            ("connections", usage.callers, limits.callers),
            ("peer_connections", usage.peers, limits.peers),
            ("monitoring_connections", usage.monitoring, limits.monitoring),
            ("handshakes", usage.handshakes, limits.handshakes),
            ("request_bytes", usage.request_bytes, limits.request_bytes),
            ("response_bytes", usage.response_bytes, limits.response_bytes),
            ("buffer_bytes", buffers.used_bytes(), buffers.max_bytes()),
            ("link_bytes", link_queues.used_bytes(), link_queues.max_bytes()),
        ];
        for (kind, held, limit) in kinds {
            self.held.with_label_values(&[kind]).set(to_i64(held));
            self.limits.with_label_values(&[kind]).set(to_i64(limit));
        }
        let counts = self.connections.report().counts();
        for ((_, name), count) in report::Cause::ALL.iter().zip(counts) {
            let counter = self.limited.with_label_values(&[*name]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
