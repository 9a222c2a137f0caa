use super::{ListenerKind, closed::CloseReason};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, ObservableGauge},
};
use std::sync::{
    LazyLock,
    atomic::{AtomicUsize, Ordering},
};
use strum::{EnumCount, VariantArray};

static CONNECTIONS: LazyLock<ConnectionMetrics> = LazyLock::new(ConnectionMetrics::new);
/// The open connections of each kind of listener, in the order of the kinds.
static OPEN: [AtomicUsize; ListenerKind::COUNT] =
    [const { AtomicUsize::new(0) }; ListenerKind::COUNT];
static HELD_BYTES: AtomicUsize = AtomicUsize::new(0);

#[derive(Debug)]
struct ConnectionMetrics {
    closed: Counter<u64>,
    _open: ObservableGauge<u64>,
    _held: ObservableGauge<u64>,
}

impl ConnectionMetrics {
    fn new() -> Self {
        let meter = global::meter("lycheeyard");
        Self {
            closed: meter
                .u64_counter("lycheeyard_connections_closed")
                .with_description("Connections closed and requests refused to keep within limits")
                .build(),
            _open: meter
                .u64_observable_gauge("lycheeyard_connections_open")
                .with_description("Accepted connections that are open")
                .with_callback(|observer| {
                    for &kind in ListenerKind::VARIANTS {
                        let open = OPEN[kind as usize].load(Ordering::Relaxed);
                        observer.observe(open as u64, &[label(kind)]);
                    }
                })
                .build(),
            _held: meter
                .u64_observable_gauge("lycheeyard_connections_held_bytes")
                .with_description("Memory held for accepted connections and their requests")
                .with_callback(|observer| {
                    observer.observe(HELD_BYTES.load(Ordering::Relaxed) as u64, &[]);
                })
                .build(),
        }
    }
}

/// Counts connections that were closed to keep within a limit.
pub(super) fn count_closed(listener: ListenerKind, reason: CloseReason, count: usize) {
    let labels = [
        label(listener),
        KeyValue::new("reason", <&'static str>::from(reason)),
    ];
    CONNECTIONS.closed.add(count as u64, &labels);
}

/// Counts a connection as open.
pub(super) fn count_open(listener: ListenerKind) {
    LazyLock::force(&CONNECTIONS);
    OPEN[listener as usize].fetch_add(1, Ordering::Relaxed);
}

/// Counts a connection as ended.
pub(super) fn count_ended(listener: ListenerKind) {
    OPEN[listener as usize].fetch_sub(1, Ordering::Relaxed);
}

/// Counts that a connection holds other memory than before.
pub(super) fn count_held(before_bytes: usize, bytes: usize) {
    HELD_BYTES.fetch_add(bytes, Ordering::Relaxed);
    HELD_BYTES.fetch_sub(before_bytes, Ordering::Relaxed);
}

fn label(listener: ListenerKind) -> KeyValue {
    KeyValue::new("listener", <&'static str>::from(listener))
}
