use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// The failures that a stand-in injects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Rejects every call with status 503, without executing it.
    pub down: bool,
    /// Delays every response by this many milliseconds.
    pub slow_ms: u64,
    /// Executes this many further calls but closes their connections without a response.
    pub lose_answers: u32,
    /// Connections with this number or a lower one get no more responses. Connections are numbered from 1 in the
    /// order in which they are opened; [`Faults::silence_open_connections`] sets this to the last one.
    pub silent_before: u64,
    /// Suspends every call before its execution for as long as this is set.
    pub paused: bool,
    /// Makes every started task fail at once.
    pub fail_tasks: bool,
}

/// The injected failures of one stand-in; clones share them with its server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    settings: Arc<Mutex<FaultSettings>>,
    connections: Arc<Mutex<u64>>,
}

/// What the server does with the response to an executed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseAction {
    /// Sends the response.
    Send,
    /// Closes the connection without a response.
    Drop,
}

impl Faults {
    /// The current settings.
    #[must_use]
    pub fn settings(&self) -> FaultSettings {
        self.lock().clone()
    }

    /// Replaces the settings.
    pub fn set(&self, settings: FaultSettings) {
        *self.lock() = settings;
    }

    /// Changes the settings in place.
    pub fn change(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.lock());
    }

    /// Stops all responses on the connections opened so far; later connections work.
    pub fn silence_open_connections(&self) {
        let opened = *self.connection_count();
        self.lock().silent_before = opened;
    }

    /// Returns the number of a new connection, starting at 1.
    pub(crate) fn open_connection(&self) -> u64 {
        let mut count = self.connection_count();
        *count += 1;
        *count
    }

    /// Whether a connection gets no more responses.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection <= self.lock().silent_before
    }

    /// Whether calls are rejected without being executed.
    pub(crate) fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Waits until the stand-in is no longer paused.
    pub(crate) async fn wait_while_paused(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().paused {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Sleeps for the configured response delay.
    pub(crate) async fn delay_response(&self) {
        let delay = Duration::from_millis(self.lock().slow_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Decides what happens to the response of an executed call. Each dropped response lowers the configured
    /// count by one.
    pub(crate) fn next_response_action(&self) -> ResponseAction {
        let mut settings = self.lock();
        if settings.lose_answers == 0 {
            return ResponseAction::Send;
        }
        settings.lose_answers -= 1;
        ResponseAction::Drop
    }

    fn lock(&self) -> MutexGuard<'_, FaultSettings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection_count(&self) -> MutexGuard<'_, u64> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
