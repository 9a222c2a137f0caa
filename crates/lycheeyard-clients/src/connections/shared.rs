use super::{
    ClientLimits, Connection, ListenerKind, ListenerLimits,
    closed::{CloseReason, ClosedConnections},
    entry::{ConnectionId, Entry, Phase},
    table::{HoldOutcome, Table},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicUsize, Ordering},
};
use thiserror::Error;
use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;

/// There is no memory for a request: it is refused, or its connection is being closed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("there is no memory for the request")]
pub struct HoldError;

/// The accepted connections of a process.
///
/// When there is no room for a connection or no memory for a request, connections are closed that have no whole request: first those whose
/// request arrives slowly, then idle ones, then large ones, then others. Where the head of a request has arrived, it is refused. A request that has arrived as a whole keeps what it holds until its
/// response, with which its connection ends while others wait.
#[derive(Clone, Debug)]
pub struct Connections {
    state: Arc<Mutex<State>>,
    /// Notified when a connection has ended, or holds other memory than before.
    released: Arc<Notify>,
    /// How many connections and requests wait for others to end.
    waiting: Arc<AtomicUsize>,
}

/// Counts as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct State {
    table: Table,
    closed: ClosedConnections,
}

impl Connections {
    /// Creates a process's connections, which may hold `max_bytes` bytes together.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                table: Table::new(max_bytes),
                closed: ClosedConnections::default(),
            })),
            released: Arc::default(),
            waiting: Arc::default(),
        }
    }

    /// Closes the connections of a listener whose requests have not arrived as a whole, since the process stops.
    pub fn close_incomplete(&self, listener: ListenerKind) {
        let mut state = self.lock();
        let count = state.table.close_incomplete(listener);
        state.closed.record(listener, CloseReason::Stopping, count);
    }

    /// Registers an accepted connection.
    pub(super) fn add(&self, listener: ListenerKind, limits: ClientLimits) -> Connection {
        let now = Instant::now();
        let mut state = self.lock();
        let id = state.table.add(listener, now, now + limits.idle_timeout);
        Connection::new(self.clone(), id, limits)
    }

    /// Waits until a listener has no more connections than it may have. Closes one after the other for that.
    pub(super) async fn wait_for_room(&self, limits: ListenerLimits) {
        loop {
            let released = self.released.notified();
            {
                let mut state = self.lock();
                if state.table.count(limits.kind) <= limits.max_connections {
                    return;
                }
                state.close_lowest(Some(limits.kind));
            }
            let _waiting = Waiting::new(&self.waiting);
            released.await;
        }
    }

    /// Whether others wait for connections to end, so that each is to end with its next response.
    pub(super) fn are_short(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Closes one connection, so that its descriptor can be used again.
    pub(super) fn free_descriptor(&self) {
        self.lock().close_lowest(None);
    }

    /// Lets a connection hold `bytes` in all, and begins to serve its request if `phase` is [`Phase::Serving`].
    pub(super) async fn hold(
        &self,
        id: ConnectionId,
        bytes: usize,
        phase: Phase,
    ) -> Result<(), HoldError> {
        loop {
            let released = self.released.notified();
            match self.try_hold(id, bytes, phase) {
                HoldOutcome::Held => return Ok(()),
                HoldOutcome::Refused => return Err(HoldError),
                HoldOutcome::Wait => {
                    let _waiting = Waiting::new(&self.waiting);
                    released.await;
                }
            }
        }
    }

    pub(super) fn try_hold(&self, id: ConnectionId, bytes: usize, phase: Phase) -> HoldOutcome {
        let mut state = self.lock();
        let State { table, closed } = &mut *state;
        let was_ending = table.get(id).is_none_or(Entry::is_ending);
        let outcome = table.hold(id, bytes, Instant::now(), |listener| {
            closed.record(listener, CloseReason::NoMemory, 1);
        });
        match outcome {
            HoldOutcome::Held => {
                if let Some(entry) = state.table.get_mut(id) {
                    entry.phase = phase;
                }
            }
            HoldOutcome::Refused if was_ending => {}
            HoldOutcome::Refused => {
                if let Some(listener) = state.table.get(id).map(|entry| entry.listener) {
                    state.closed.record(listener, CloseReason::NoMemory, 1);
                }
            }
            HoldOutcome::Wait => {}
        }
        outcome
    }

    /// Records what a connection holds, and changes it.
    pub(super) fn update(
        &self,
        id: ConnectionId,
        held_bytes: Option<usize>,
        change: impl FnOnce(&mut Entry),
    ) {
        let mut state = self.lock();
        if let Some(bytes) = held_bytes {
            state.table.set_held(id, bytes);
        }
        if let Some(entry) = state.table.get_mut(id) {
            change(entry);
        }
        drop(state);
        if held_bytes.is_some() {
            self.released.notify_waiters();
        }
    }

    /// The deadline of a connection.
    pub(super) fn deadline(&self, id: ConnectionId) -> Option<Instant> {
        self.lock().table.get(id).and_then(|entry| entry.deadline)
    }

    /// Returns the token that is cancelled when a connection has to end at once, and the one that is when its request has to be refused.
    pub(super) fn tokens(&self, id: ConnectionId) -> (CancellationToken, CancellationToken) {
        let state = self.lock();
        let entry = state.table.get(id);
        entry.map_or_else(Default::default, |entry| {
            (entry.closing.clone(), entry.refusal.clone())
        })
    }

    /// Records that a connection was closed since its client took too long.
    pub(super) fn record_timeout(&self, id: ConnectionId) {
        let mut state = self.lock();
        let Some(entry) = state.table.get(id) else {
            return;
        };
        let listener = entry.listener;
        let reason = match entry.phase {
            Phase::New | Phase::Answered => CloseReason::Idle,
            Phase::Head | Phase::Body | Phase::Serving => CloseReason::TimedOut,
        };
        state.closed.record(listener, reason, 1);
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.lock().table.remove(id);
        self.released.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close_lowest(&mut self, listener: Option<ListenerKind>) {
        if let Some(listener) = self.table.close_lowest(listener, Instant::now()) {
            self.closed.record(listener, CloseReason::NoConnections, 1);
        }
    }
}
