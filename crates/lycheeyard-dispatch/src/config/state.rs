use super::ServingConfig;
use lycheeyard_jobs::BootTime;
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// A configuration and the time at which it was last verified as the newest.
#[derive(Clone, Debug, Default)]
pub struct VerifiedConfig {
    /// The configuration; `None` until the first one is read.
    pub config: Option<Arc<ServingConfig>>,
    /// The time of the last verification; every change accepted before it is included.
    pub verified_at: BootTime,
}

impl VerifiedConfig {
    /// Returns the configuration if it was verified at most `age` ago.
    #[must_use]
    pub fn fresh(&self, now: BootTime, age: Duration) -> Option<&Arc<ServingConfig>> {
        let is_fresh = !self.verified_at.after(age).is_past(now);
        self.config.as_ref().filter(|_| is_fresh)
    }
}

/// The current configuration of this process, shared by all clones. Its revision never decreases.
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
    /// Returns the current configuration and its verification time.
    #[must_use]
    pub fn current(&self) -> VerifiedConfig {
        self.tx.borrow().clone()
    }

    /// Returns a receiver that is notified of each new revision, but not of verifications.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<VerifiedConfig> {
        self.tx.subscribe()
    }

    /// Applies a configuration that was the newest at `requested_at`. Returns whether its revision is newer than the
    /// current one. The same revision only renews the verification, and an older one is ignored.
    #[must_use]
    pub fn update(&self, config: ServingConfig, requested_at: BootTime) -> bool {
        let current = self.current().config.map(|current| current.revision);
        if current.is_some_and(|current| current > config.revision) {
            return false;
        }
        let is_newer = current != Some(config.revision);
        self.tx.send_if_modified(|state| {
            if is_newer {
                state.config = Some(Arc::new(config));
            }
            state.verified_at = state.verified_at.max(requested_at);
            is_newer
        });
        is_newer
    }

    /// Records that no newer revision existed at `verified_at`. Subscribers are not notified.
    pub fn mark_verified(&self, verified_at: BootTime) {
        self.tx.send_if_modified(|state| {
            state.verified_at = state.verified_at.max(verified_at);
            false
        });
    }
}
