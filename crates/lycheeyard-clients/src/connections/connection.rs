use super::{
    ClientLimits, Connections, HoldError,
    entry::{ConnectionId, Phase},
    table::HoldOutcome,
};
use std::{io, sync::Arc, task::Poll};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What a connection holds from its first byte to its end besides the head of a request, in bytes: buffers and tasks.
const OVERHEAD_BYTES: usize = 16 << 10;

/// An accepted connection. It is open until its last copy is dropped.
#[derive(Clone, Debug)]
pub struct Connection(Arc<Registered>);

#[derive(Debug)]
struct Registered {
    connections: Connections,
    id: ConnectionId,
    limits: ClientLimits,
}

impl Connection {
    pub(super) fn new(connections: Connections, id: ConnectionId, limits: ClientLimits) -> Self {
        Self(Arc::new(Registered {
            connections,
            id,
            limits,
        }))
    }

    /// What the client may do.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        self.0.limits
    }

    /// Holds the memory that each connection needs to read a request.
    ///
    /// # Errors
    /// Fails when there is none.
    pub async fn hold_overhead(&self) -> Result<(), HoldError> {
        let held = self.held_with(0);
        let connections = &self.0.connections;
        connections.hold(self.0.id, held, Phase::Head).await
    }

    /// Holds memory for a body of up to `bytes` bytes while it arrives.
    ///
    /// # Errors
    /// Fails when there is none. The request has then to be refused.
    pub async fn hold_body(&self, bytes: usize) -> Result<(), HoldError> {
        let held = self.held_with(bytes);
        let connections = &self.0.connections;
        connections.hold(self.0.id, held, Phase::Body).await
    }

    /// Holds memory for a frame of up to `bytes` bytes while it arrives, if it can be had at once. Returns false if it cannot.
    #[must_use]
    pub fn try_hold_frame(&self, bytes: usize) -> bool {
        let held = self.held_with(bytes);
        let connections = &self.0.connections;
        connections.try_hold(self.0.id, held, Phase::Head) == HoldOutcome::Held
    }

    /// Completes when the request whose body is arriving has to be refused, since others need its memory or its place.
    pub async fn refused(&self) {
        let (_, refusal) = self.0.connections.tokens(self.0.id);
        refusal.cancelled().await;
    }

    /// Holds the memory that it takes to serve a request which has arrived as a whole. It keeps the memory until its response.
    ///
    /// # Errors
    /// Fails when there is none. The request has then to be refused.
    pub async fn begin_serving(&self, bytes: usize) -> Result<(), HoldError> {
        let held = self.held_with(bytes);
        let connections = &self.0.connections;
        connections.hold(self.0.id, held, Phase::Serving).await
    }

    /// Records that a request without a body has arrived.
    pub(crate) fn record_whole_request(&self) {
        self.enter(Phase::Serving, None);
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn record_head(&self) {
        self.enter(Phase::Body, None);
    }

    /// Records that a request has a response, which holds `bytes` bytes in place of the request.
    pub fn hold_response(&self, bytes: usize) {
        let held = Some(self.held_with(bytes));
        self.0.connections.update(self.0.id, held, |entry| {
            entry.phase = Phase::Serving;
        });
    }

    /// Records that the response is complete, but for what the client still has to read.
    pub fn record_response(&self) {
        let now = Instant::now();
        let deadline = now + self.0.limits.idle_timeout;
        self.0.connections.update(self.0.id, None, |entry| {
            entry.phase = Phase::Answered;
            entry.since = now;
            entry.deadline = Some(deadline);
        });
    }

    /// Whether the connection is to end with its next response, since others wait for room.
    pub(crate) fn is_to_end(&self) -> bool {
        self.0.connections.are_short()
    }

    /// Records that bytes have arrived: those of a new request unless one is being read or served.
    pub fn record_read(&self) {
        let now = Instant::now();
        let deadline = now + self.0.limits.head_timeout;
        self.0.connections.update(self.0.id, None, |entry| {
            if matches!(entry.phase, Phase::New | Phase::Answered) {
                entry.phase = Phase::Head;
                entry.since = now;
                entry.deadline = Some(deadline);
            }
        });
    }

    /// Records whether the client, or the network, takes bytes.
    pub(super) fn record_write_result(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.record_write(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.record_blocked_write(),
        }
    }

    fn record_write(&self) {
        let now = Instant::now();
        let deadline = now + self.0.limits.idle_timeout;
        self.0
            .connections
            .update(self.0.id, None, |entry| match entry.phase {
                Phase::Answered => {
                    entry.since = now;
                    entry.deadline = Some(deadline);
                }
                // The rest of the response may take its time.
                Phase::Serving => entry.deadline = None,
                Phase::New | Phase::Head | Phase::Body => {}
            });
    }

    fn record_blocked_write(&self) {
        let deadline = Instant::now() + self.0.limits.idle_timeout;
        self.0.connections.update(self.0.id, None, |entry| {
            entry.deadline.get_or_insert(deadline);
        });
    }

    /// Gives a request until `deadline` to arrive, or any time.
    fn enter(&self, phase: Phase, deadline: Option<Instant>) {
        self.0.connections.update(self.0.id, None, |entry| {
            entry.phase = phase;
            entry.deadline = deadline;
        });
    }

    pub(super) fn deadline(&self) -> Option<Instant> {
        self.0.connections.deadline(self.0.id)
    }

    pub(super) fn closing(&self) -> CancellationToken {
        let (closing, _) = self.0.connections.tokens(self.0.id);
        closing
    }

    pub(super) fn record_timeout(&self) {
        self.0.connections.record_timeout(self.0.id);
    }

    fn held_with(&self, bytes: usize) -> usize {
        OVERHEAD_BYTES + self.0.limits.max_head_bytes + bytes
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.connections.remove(self.id);
    }
}
