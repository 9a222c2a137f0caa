use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// How a stand-in misbehaves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Refuses every call with status 503 before it takes effect.
    pub down: bool,
    /// Delays every answer by this many milliseconds.
    pub slow_ms: u64,
    /// Lets this many further calls take effect and then drops the connection unanswered.
    pub lose_answers: u32,
    /// Connections opened before the last call to silence never answer again.
    pub silent_before: u64,
    /// Answers nothing until the switch is off.
    pub paused: bool,
    /// Every task that is started fails at once.
    pub fail_tasks: bool,
}

/// The fault switches of one stand-in, shared with its server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    settings: Arc<Mutex<FaultSettings>>,
    connections: Arc<Mutex<u64>>,
}

/// What the server does with a call after its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerFate {
    /// The answer is sent.
    Send,
    /// The connection is closed without an answer.
    Lose,
}

impl Faults {
    /// The present settings.
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

    /// Makes all connections that are open now silent for good; later ones work.
    pub fn silence_open_connections(&self) {
        let opened = *self.connection_count();
        self.lock().silent_before = opened;
    }

    /// Numbers a new connection, from 1.
    pub(crate) fn open_connection(&self) -> u64 {
        let mut count = self.connection_count();
        *count += 1;
        *count
    }

    /// Whether a connection is silent for good.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection <= self.lock().silent_before
    }

    /// Whether calls are refused before they take effect.
    pub(crate) fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Waits while the stand-in is paused.
    pub(crate) async fn wait_while_paused(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().paused {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits out the configured delay of answers.
    pub(crate) async fn delay_answer(&self) {
        let delay = Duration::from_millis(self.lock().slow_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Decides what happens to the answer of a call that took effect.
    pub(crate) fn decide_answer(&self) -> AnswerFate {
        let mut settings = self.lock();
        if settings.lose_answers == 0 {
            return AnswerFate::Send;
        }
        settings.lose_answers -= 1;
        AnswerFate::Lose
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
