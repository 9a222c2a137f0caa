use super::ServingConfig;
use lycheeyard_jobs::BootTime;
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// A configuration and the last time at which it was surely the newest.
#[derive(Clone, Debug, Default)]
pub struct VerifiedConfig {
    /// The configuration, once one was read.
    pub config: Option<Arc<ServingConfig>>,
    /// Every change that was accepted before this time is in it.
    pub verified_at: BootTime,
}

impl VerifiedConfig {
    /// The configuration, if it was surely the newest at most `age` ago.
    #[must_use]
    pub fn fresh(&self, now: BootTime, age: Duration) -> Option<&Arc<ServingConfig>> {
        let is_fresh = !self.verified_at.after(age).is_past(now);
        self.config.as_ref().filter(|_| is_fresh)
    }
}

/// The configuration that one process knows; its revision never falls.
#[derive(Clone, Debug)]
pub struct ConfigState {
    tx: watch::Sender<VerifiedConfig>,
}

impl Default for ConfigState {
    fn default() -> Self {
        let (tx, _) = watch::channel(VerifiedConfig::default());
        Self { tx }
    }
}

impl ConfigState {
    /// What is known now.
    #[must_use]
    pub fn current(&self) -> VerifiedConfig {
        self.tx.borrow().clone()
    }

    /// Follows changes of what is known.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<VerifiedConfig> {
        self.tx.subscribe()
    }

    /// Takes a configuration that was the newest at `asked_at`. Returns whether it is a newer one.
    #[must_use]
    pub fn update(&self, config: ServingConfig, asked_at: BootTime) -> bool {
        let known = self.current().config.map(|known| known.revision);
        if known.is_some_and(|known| known > config.revision) {
            return false;
        }
        let is_newer = known != Some(config.revision);
        self.tx.send_if_modified(|state| {
            if is_newer {
                state.config = Some(Arc::new(config));
            }
            state.verified_at = state.verified_at.max(asked_at);
            is_newer
        });
        is_newer
    }

    /// Takes note that nothing newer existed at `asked_at`.
    pub fn mark_verified(&self, asked_at: BootTime) {
        self.tx.send_if_modified(|state| {
            state.verified_at = state.verified_at.max(asked_at);
            false
        });
    }
}
