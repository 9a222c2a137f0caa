use lycheeyard_protocol::WorkerId;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;

/// The simulated network between one instance and the external systems, with injectable faults.
#[derive(Clone, Debug)]
pub struct Link {
    state: Arc<Mutex<LinkState>>,
    /// Workers that this instance does not reach.
    silent_workers: Arc<Mutex<BTreeSet<WorkerId>>>,
    /// Workers that accept no connection, since their processes have ended.
    gone_workers: Arc<Mutex<BTreeSet<WorkerId>>>,
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
    /// The store applies writes but does not answer them.
    pub answers_lost: bool,
    /// The store applies writes after this delay and does not answer them.
    pub write_delay: Option<Duration>,
    /// How much longer than usual the store takes to answer a call.
    pub answer_time: Duration,
    /// How long each byte of a write takes to reach the store.
    pub byte_time: Duration,
    /// The store's pages of keys do not arrive: they are too long for the link.
    pub pages_lost: bool,
    /// Only each third page of keys arrives.
    pub most_pages_lost: bool,
    /// How long the value of a key takes to arrive, also beyond the deadline of the call.
    pub value_time: Duration,
    /// How long each of the store's pages of keys takes to arrive.
    pub page_time: Duration,
    /// The number of pages requested.
    pub pages_requested: u32,
    /// Start orders do not reach the workers.
    pub starts_lost: bool,
    /// No worker answers.
    pub workers_silent: bool,
    /// How long the processor of the instance is busy with each call.
    pub call_cost: Duration,
}

impl Default for Link {
    fn default() -> Self {
        let (frozen, _) = watch::channel(false);
        Self {
            state: Arc::default(),
            silent_workers: Arc::default(),
            gone_workers: Arc::default(),
            frozen,
        }
    }
}

impl Link {
    pub fn state(&self) -> LinkState {
        *self.state.lock().expect("lock is not poisoned")
    }

    pub fn change(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.state.lock().expect("lock is not poisoned"));
    }

    /// Cuts the instance off from a worker.
    pub fn silence_worker(&self, worker: &WorkerId) {
        let mut silent = self.silent_workers.lock().expect("lock is not poisoned");
        silent.insert(worker.clone());
    }

    /// Ends the process of a worker, so that it accepts no connection.
    pub fn end_worker(&self, worker: &WorkerId) {
        let mut gone = self.gone_workers.lock().expect("lock is not poisoned");
        gone.insert(worker.clone());
    }

    pub fn is_gone(&self, worker: &WorkerId) -> bool {
        let gone = self.gone_workers.lock().expect("lock is not poisoned");
        gone.contains(worker)
    }

    /// Lets the instance reach a worker again.
    pub fn reach_worker(&self, worker: &WorkerId) {
        let mut silent = self.silent_workers.lock().expect("lock is not poisoned");
        silent.remove(worker);
    }

    pub fn is_silent(&self, worker: &WorkerId) -> bool {
        let silent = self.silent_workers.lock().expect("lock is not poisoned");
        silent.contains(worker)
    }

    /// Whether the next page of keys is lost.
    pub fn loses_page(&self) -> bool {
        let mut state = self.state.lock().expect("lock is not poisoned");
        state.pages_requested += 1;
        state.pages_lost || (state.most_pages_lost && !state.pages_requested.is_multiple_of(3))
    }

    /// Removes all faults except a freeze.
    pub fn clear_faults(&self) {
        self.change(|state| *state = LinkState::default());
    }

    /// Blocks all calls and answers of the instance while `frozen` is true.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the link is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        frozen
            .wait_for(|frozen| !frozen)
            .await
            .expect("link is not dropped");
    }
}
