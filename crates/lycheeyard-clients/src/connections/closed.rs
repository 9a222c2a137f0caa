use super::{ListenerKind, metrics::count_closed};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::time::Instant;
use tracing::warn;

/// The time between two log lines about closed connections.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed or its request refused; prints as in metrics and log lines.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum CloseReason {
    /// The listener has no room for a further connection, or the process for a further descriptor.
    NoConnections,
    /// Other requests need the memory, or there is none for this one.
    NoMemory,
    /// A request took too long to arrive.
    TimedOut,
    /// Nothing was asked for a long time, or the client does not read the response.
    Idle,
    /// The process stops, and the request has not arrived.
    Stopping,
}

/// Counts closed connections and logs them, but for idle ones, with one line in ten seconds.
#[derive(Debug, Default)]
pub(super) struct ClosedConnections {
    unlogged: usize,
    next_line_at: Option<Instant>,
}

impl ClosedConnections {
    pub fn record(&mut self, listener: ListenerKind, reason: CloseReason, count: usize) {
        if count == 0 {
            return;
        }
        count_closed(listener, reason, count);
        if reason == CloseReason::Idle {
            return;
        }
        self.unlogged += count;
        let now = Instant::now();
        if self.next_line_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_line_at = Some(now + LINE_INTERVAL);
        let closed = std::mem::take(&mut self.unlogged);
        let listener: &str = listener.into();
        let reason: &str = reason.into();
        warn!(
            closed,
            listener, reason, "connections: closed, or refused a request, since the last such line"
        );
    }
}
