use lycheeyard_jobs::WorkerKey;
use lycheeyard_protocol::{Epoch, Incarnation, WorkerId};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::watch;

/// The epochs that the calls of one term carry, by worker.
///
/// Calls name a worker by its id, so that those for one incarnation may reach the next one, also seconds late. Each further
/// incarnation is therefore called with an epoch above those of all earlier calls: once it has answered, it rejects them. So is a
/// worker that is gone, whose next incarnation may answer before anybody knows of it.
#[derive(Clone, Debug)]
pub(super) struct WorkerEpochs {
    term: Epoch,
    state: Arc<Mutex<State>>,
    /// Whether some worker needs an epoch that has not been drawn yet.
    is_wanted: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    /// The newest epoch that was drawn in this term.
    newest: Epoch,
    assigned: BTreeMap<WorkerId, Assigned>,
}

/// The incarnation that a worker's calls are meant for, and their epoch.
#[derive(Clone, Copy, Debug)]
struct Assigned {
    incarnation: Incarnation,
    epoch: Epoch,
}

impl WorkerEpochs {
    pub fn new(term: Epoch) -> Self {
        Self {
            term,
            state: Arc::new(Mutex::new(State {
                newest: term,
                assigned: BTreeMap::new(),
            })),
            is_wanted: watch::Sender::new(false),
        }
    }

    /// Returns the epoch for the calls to an incarnation of a worker that was not called before. Returns `None`, and asks for a
    /// newer epoch, if none has been drawn since another incarnation of the worker was first called.
    pub fn assign(&self, worker: &WorkerKey) -> Option<Epoch> {
        let mut state = self.lock();
        let newest = state.newest;
        let epoch = match state.assigned.get(&worker.id) {
            None => self.term,
            Some(assigned) if assigned.incarnation == worker.incarnation => assigned.epoch,
            Some(former) if former.epoch < newest => newest,
            Some(_) => {
                self.is_wanted.send_replace(true);
                return None;
            }
        };
        let assigned = Assigned {
            incarnation: worker.incarnation,
            epoch,
        };
        state.assigned.insert(worker.id.clone(), assigned);
        Some(epoch)
    }

    /// Returns the epoch for a call to an incarnation of a worker; `None` if calls go to another incarnation by now.
    pub fn for_call(&self, worker: &WorkerKey) -> Option<Epoch> {
        match self.lock().assigned.get(&worker.id) {
            None => Some(self.term),
            Some(assigned) if assigned.incarnation == worker.incarnation => Some(assigned.epoch),
            Some(_) => None,
        }
    }

    /// Returns an epoch above that of all calls to an incarnation so far, for its calls from now on. Returns `None`, and asks for a
    /// newer epoch, if none has been drawn since it was first called with its present one.
    pub fn raise(&self, worker: &WorkerKey) -> Option<Epoch> {
        let mut state = self.lock();
        let newest = state.newest;
        let assigned = state.assigned.get_mut(&worker.id);
        let assigned = assigned.filter(|assigned| assigned.incarnation == worker.incarnation)?;
        if newest <= assigned.epoch {
            self.is_wanted.send_replace(true);
            return None;
        }
        assigned.epoch = newest;
        Some(newest)
    }

    /// Whether a worker has been called with a higher epoch than `epoch` in this term, so that its rejection of `epoch` does not show
    /// another holder.
    pub fn has_superseded(&self, worker: &WorkerId, epoch: Epoch) -> bool {
        let state = self.lock();
        let assigned = state.assigned.get(worker);
        assigned.is_some_and(|assigned| assigned.epoch > epoch)
    }

    /// Waits until an epoch is to be drawn.
    pub async fn wait_until_wanted(&self) {
        let mut is_wanted = self.is_wanted.subscribe();
        // The sender is a part of `self`, so that the channel is open.
        let _ = is_wanted.wait_for(|is_wanted| *is_wanted).await;
    }

    /// Adds an epoch that was drawn.
    pub fn add(&self, drawn: Epoch) {
        let mut state = self.lock();
        state.newest = state.newest.max(drawn);
        self.is_wanted.send_replace(false);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
