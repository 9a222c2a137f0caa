use lycheeyard_jobs::{SilentWorker, WorkerKey};
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Lets no lease be extended and nothing be started before the term is recorded as one that may do so, and on workers that the stored
/// record of silent workers may name; clones share it.
///
/// The times in that record are those of the last calls that the scheduling loop knew of, while other tasks make the calls. So a worker
/// that was called since the pass began is not named by it.
#[derive(Clone, Debug, Default)]
pub(super) struct SilentGate(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Whether the term is recorded as one that may extend leases.
    is_open: bool,
    /// The workers that the record may name: it does, or a write of it may be under way.
    named: BTreeSet<WorkerKey>,
    /// The workers that were called since the pass of the scheduling loop began.
    called: BTreeSet<WorkerKey>,
}

impl SilentGate {
    /// Notes that a pass of the scheduling loop begins. Called before it reads the clock and its inbox.
    pub fn begin_pass(&self) {
        self.lock().called.clear();
    }

    /// Notes that a call that extends leases or starts a run on a worker is about to be made, and does `announce`, so that it has
    /// been done when the next pass begins. Returns `None`, and does neither, if the record may name the worker or the
    /// gate is closed for all.
    pub fn pass<T>(&self, worker: &WorkerKey, announce: impl FnOnce() -> T) -> Option<T> {
        let mut state = self.lock();
        if !state.is_open || state.named.contains(worker) {
            return None;
        }
        state.called.insert(worker.clone());
        Some(announce())
    }

    /// Closes the gate for workers that the record is to name. Returns those that it may name, without the workers that were called
    /// during this pass: the times given for them may be too early.
    pub fn close(&self, workers: Vec<SilentWorker>) -> Vec<SilentWorker> {
        let mut state = self.lock();
        let State { named, called, .. } = &mut *state;
        let closed = workers.into_iter().filter(|silent| {
            let is_closed = named.contains(&silent.worker) || !called.contains(&silent.worker);
            if is_closed {
                named.insert(silent.worker.clone());
            }
            is_closed
        });
        closed.collect()
    }

    /// Opens the gate for all but the workers that the record names, now that this is durable.
    pub fn open_for_others(&self, named: BTreeSet<WorkerKey>) {
        self.lock().named = named;
    }

    /// Opens the gate, now that the term is recorded as one that may extend leases.
    pub fn open(&self) {
        self.lock().is_open = true;
    }

    /// Whether the gate was opened in this term.
    pub fn is_open(&self) -> bool {
        self.lock().is_open
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
