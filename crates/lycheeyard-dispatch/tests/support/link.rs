use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;

/// What stands between one instance and everything else.
#[derive(Clone, Debug)]
pub struct Link {
    state: Arc<Mutex<LinkState>>,
    frozen: watch::Sender<bool>,
}

#[derive(Clone, Copy, Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one fault, and any may be combined"
)]
pub struct LinkState {
    /// The store does not answer.
    pub store_silent: bool,
    /// The store refuses all calls.
    pub store_refuses: bool,
    /// The store carries writes out and does not answer them.
    pub answers_lost: bool,
    /// The store carries writes out after this and does not answer them.
    pub writes_late: Option<Duration>,
    /// No worker answers.
    pub workers_silent: bool,
}

impl Default for Link {
    fn default() -> Self {
        let (frozen, _) = watch::channel(false);
        Self {
            state: Arc::default(),
            frozen,
        }
    }
}

impl Link {
    pub fn state(&self) -> LinkState {
        *self.state.lock().expect("a lock")
    }

    pub fn change(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.state.lock().expect("a lock"));
    }

    pub fn heal(&self) {
        self.change(|state| *state = LinkState::default());
    }

    /// Keeps all calls of the instance from leaving and all answers from arriving.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    pub async fn pass(&self) {
        let mut frozen = self.frozen.subscribe();
        frozen.wait_for(|frozen| !frozen).await.expect("the link");
    }
}
