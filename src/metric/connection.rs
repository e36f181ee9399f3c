//! Metrics of the connections of a server.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::ReasonLabel;

/// Metrics of the connections of a server; clones count together.
#[derive(Debug, Clone, Default)]
pub struct ConnectionMetrics {
    /// Connections.
    pub open: Gauge,
    /// Bytes reserved for request bodies.
    pub body_bytes: Gauge,
    refused: Family<ReasonLabel, Counter>,
    closed: Family<ReasonLabel, Counter>,
}

impl ConnectionMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("connections", "Connections of callers", self.open.clone());
        registry.register(
            "body_bytes",
            "Memory reserved for bodies of requests, bytes",
            self.body_bytes.clone(),
        );
        registry.register(
            "requests_refused",
            "Requests refused before they were read in full, by reason",
            self.refused.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections closed for others, by reason",
            self.closed.clone(),
        );
    }

    /// Counts a request that was refused before it was read in full.
    pub(crate) fn count_refused(&self, reason: &'static str) {
        self.refused.get_or_create(&label(reason)).inc();
    }

    /// Counts a connection that was closed for another one.
    pub(crate) fn count_closed(&self, reason: &'static str) {
        self.closed.get_or_create(&label(reason)).inc();
    }
}

fn label(reason: &str) -> ReasonLabel {
    ReasonLabel {
        reason: reason.to_owned(),
    }
}
