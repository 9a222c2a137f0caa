use super::{ListenerKind, closed::CloseReason};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Gauge},
};
use std::sync::LazyLock;

static CONNECTIONS: LazyLock<ConnectionMetrics> = LazyLock::new(ConnectionMetrics::new);

#[derive(Debug)]
struct ConnectionMetrics {
    closed: Counter<u64>,
    open: Gauge<u64>,
    held: Gauge<u64>,
}

impl ConnectionMetrics {
    fn new() -> Self {
        let meter = global::meter("lycheeyard");
        Self {
            closed: meter
                .u64_counter("lycheeyard_connections_closed")
                .with_description("Connections closed and requests refused to keep within limits")
                .build(),
            open: meter
                .u64_gauge("lycheeyard_connections_open")
                .with_description("Accepted connections that are open")
                .build(),
            held: meter
                .u64_gauge("lycheeyard_connections_held_bytes")
                .with_description("Memory held for accepted connections and their requests")
                .build(),
        }
    }
}

/// Counts connections that were closed to keep within a limit.
pub(super) fn count_closed(listener: ListenerKind, reason: CloseReason, count: usize) {
    let labels = [
        KeyValue::new("listener", <&'static str>::from(listener)),
        KeyValue::new("reason", <&'static str>::from(reason)),
    ];
    CONNECTIONS.closed.add(count as u64, &labels);
}

/// Records how many connections of a listener are open, and what all connections hold.
pub(super) fn record_open(listener: ListenerKind, open: usize, held_bytes: usize) {
    let listener = KeyValue::new("listener", <&'static str>::from(listener));
    CONNECTIONS.open.record(open as u64, &[listener]);
    CONNECTIONS.held.record(held_bytes as u64, &[]);
}
