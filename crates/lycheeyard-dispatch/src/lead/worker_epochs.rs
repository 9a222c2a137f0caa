use super::unsettled_starts::{Settlement, UnsettledStarts};
use crate::ports::WorkerClock;
use lycheeyard_jobs::{BootTime, EndNumber, WorkerKey};
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
///
/// Until then the next incarnation accepts whatever reaches it, and numbers its ends anew, so that an acknowledgement for the former
/// one may discard an end of a run that a start order has begun there. Two rules exclude this:
///
/// - A start order carries an epoch above those of all acknowledgements sent before it to the worker. An incarnation that has carried
///   it out rejects them.
/// - No acknowledgement is sent while a start order to the worker is unsettled ([`UnsettledStarts`]): the next incarnation may have
///   carried it out. One that is overdue is sent all the same, since the worker lists a limited number of ends.
#[derive(Clone, Debug)]
pub(super) struct WorkerEpochs {
    term: Epoch,
    state: Arc<Mutex<State>>,
    /// Whether some worker needs an epoch that has not been drawn yet.
    is_wanted: watch::Sender<bool>,
    /// Notified when an epoch becomes available, and when the unsettled starts of a worker change.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    /// The newest epoch that was drawn in this term.
    newest: Epoch,
    workers: BTreeMap<WorkerId, WorkerState>,
}

/// The incarnation that a worker's calls are meant for, and their epoch.
#[derive(Clone, Copy, Debug)]
struct WorkerState {
    incarnation: Incarnation,
    /// The highest epoch of all calls to the worker.
    epoch: Epoch,
    /// The highest epoch of all acknowledgements to the worker.
    acknowledged_with: Option<Epoch>,
    starts: UnsettledStarts,
}

/// The epoch of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartEpoch {
    /// The order may be sent with this epoch.
    Drawn(Epoch),
    /// No epoch above those of the acknowledgements to the worker has been drawn yet; one is asked for.
    Wanted,
    /// Calls go to another incarnation by now.
    Replaced,
}

/// The epoch of a report request, and what it acknowledges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ReportEpoch {
    pub epoch: Epoch,
    pub acknowledge: EndNumber,
}

/// The sending of start orders to one worker, until it is dropped.
pub(super) struct StartsBeingSent {
    epochs: WorkerEpochs,
    worker: WorkerId,
}

impl Drop for StartsBeingSent {
    fn drop(&mut self) {
        self.epochs
            .change_starts(&self.worker, UnsettledStarts::end_sending);
    }
}

impl WorkerEpochs {
    pub fn new(term: Epoch) -> Self {
        Self {
            term,
            state: Arc::new(Mutex::new(State {
                newest: term,
                workers: BTreeMap::new(),
            })),
            is_wanted: watch::Sender::new(false),
            changes: watch::Sender::new(()),
        }
    }

    /// Returns the epoch for the calls to an incarnation of a worker that was not called before. Returns `None`, and asks for a
    /// newer epoch, if none has been drawn since another incarnation of the worker was last called with a newer one.
    pub fn assign(&self, worker: &WorkerKey) -> Option<Epoch> {
        let mut state = self.lock();
        let newest = state.newest;
        let Some(former) = state.workers.get_mut(&worker.id) else {
            let assigned = WorkerState {
                incarnation: worker.incarnation,
                epoch: self.term,
                acknowledged_with: None,
                starts: UnsettledStarts::default(),
            };
            state.workers.insert(worker.id.clone(), assigned);
            return Some(self.term);
        };
        if former.incarnation == worker.incarnation {
            return Some(former.epoch);
        }
        if newest <= former.epoch {
            self.is_wanted.send_replace(true);
            return None;
        }
        former.incarnation = worker.incarnation;
        former.epoch = newest;
        former.starts.begin_incarnation();
        Some(newest)
    }

    /// Returns the epoch for a call to an incarnation of a worker that is neither a start order nor a report request; `None` if calls
    /// go to another incarnation by now.
    pub fn for_call(&self, worker: &WorkerKey) -> Option<Epoch> {
        match self.lock().workers.get(&worker.id) {
            None => Some(self.term),
            Some(state) if state.incarnation == worker.incarnation => Some(state.epoch),
            Some(_) => None,
        }
    }

    /// Returns the epoch for a start order to an incarnation of a worker, above those of all acknowledgements to it.
    pub fn for_start(&self, worker: &WorkerKey) -> StartEpoch {
        let mut state = self.lock();
        let newest = state.newest;
        let Some(assigned) = state.workers.get_mut(&worker.id) else {
            return StartEpoch::Drawn(self.term);
        };
        if assigned.incarnation != worker.incarnation {
            return StartEpoch::Replaced;
        }
        if assigned.acknowledged_with < Some(assigned.epoch) {
            return StartEpoch::Drawn(assigned.epoch);
        }
        if newest <= assigned.epoch {
            self.is_wanted.send_replace(true);
            return StartEpoch::Wanted;
        }
        assigned.epoch = newest;
        StartEpoch::Drawn(newest)
    }

    /// Returns the epoch for a report request that is to acknowledge the ends through `durable`; it acknowledges nothing as long as
    /// start orders to the worker are unsettled, unless `is_overdue` is set. Returns `None` if calls go to another incarnation by now.
    pub fn for_report(
        &self,
        worker: &WorkerKey,
        durable: EndNumber,
        is_overdue: bool,
        now: BootTime,
    ) -> Option<ReportEpoch> {
        let mut state = self.lock();
        let assigned = state.workers.get_mut(&worker.id);
        let assigned = assigned.filter(|assigned| assigned.incarnation == worker.incarnation)?;
        let may_acknowledge = is_overdue || assigned.starts.settlement(now) == Settlement::Settled;
        let acknowledge = if may_acknowledge {
            durable
        } else {
            EndNumber(0)
        };
        if acknowledge > EndNumber(0) {
            assigned.acknowledged_with = Some(assigned.epoch);
        }
        Some(ReportEpoch {
            epoch: assigned.epoch,
            acknowledge,
        })
    }

    /// Returns an epoch above that of all calls to an incarnation so far, for its calls from now on. Returns `None`, and asks for a
    /// newer epoch, if none has been drawn since it was first called with its present one.
    pub fn raise(&self, worker: &WorkerKey) -> Option<Epoch> {
        let mut state = self.lock();
        let newest = state.newest;
        let assigned = state.workers.get_mut(&worker.id);
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
        let assigned = state.workers.get(worker);
        assigned.is_some_and(|assigned| assigned.epoch > epoch)
    }

    /// Notes that start orders to a worker are being sent until the returned value is dropped.
    pub fn begin_starts(&self, worker: &WorkerId) -> StartsBeingSent {
        self.change_starts(worker, UnsettledStarts::begin_sending);
        StartsBeingSent {
            epochs: self.clone(),
            worker: worker.clone(),
        }
    }

    /// Notes that a start order was carried out before `now`, when the worker's clock showed `clock`.
    pub fn note_start(&self, worker: &WorkerId, clock: Option<WorkerClock>, now: BootTime) {
        self.change_starts(worker, |starts| starts.add_carried_out(clock, now));
    }

    /// Notes that a copy of a start order sent before `sent_at` got no answer.
    pub fn note_unanswered_start(&self, worker: &WorkerId, sent_at: BootTime) {
        self.change_starts(worker, |starts| starts.add_unanswered(sent_at));
    }

    /// Notes that an incarnation of a worker has answered a report request that was sent at `asked_at`.
    pub fn note_report(&self, worker: &WorkerKey, asked_at: BootTime) {
        let mut state = self.lock();
        let assigned = state.workers.get_mut(&worker.id);
        let assigned = assigned.filter(|assigned| assigned.incarnation == worker.incarnation);
        if let Some(assigned) = assigned {
            assigned.starts.note_report(asked_at);
        }
    }

    /// Returns whether all start orders to a worker are settled, and why not.
    pub fn settlement(&self, worker: &WorkerId, now: BootTime) -> Settlement {
        let state = self.lock();
        let assigned = state.workers.get(worker);
        assigned.map_or(Settlement::Settled, |state| state.starts.settlement(now))
    }

    /// Waits until no start order to a worker is being sent.
    pub async fn wait_until_starts_sent(&self, worker: &WorkerId, now: BootTime) {
        let mut changes = self.changes.subscribe();
        while self.settlement(worker, now) == Settlement::BeingSent {
            // The sender is a part of `self`, so that the channel is open.
            let _ = changes.changed().await;
        }
    }

    /// Waits until an epoch above those of all calls to a worker so far is drawn.
    pub async fn wait_until_drawn(&self, worker: &WorkerId) {
        let mut changes = self.changes.subscribe();
        while !self.has_newer(worker) {
            let _ = changes.changed().await;
        }
    }

    fn has_newer(&self, worker: &WorkerId) -> bool {
        let state = self.lock();
        let assigned = state.workers.get(worker);
        assigned.is_none_or(|assigned| assigned.epoch < state.newest)
    }

    /// Waits until an epoch is to be drawn.
    pub async fn wait_until_wanted(&self) {
        let mut is_wanted = self.is_wanted.subscribe();
        // The sender is a part of `self`, so that the channel is open.
        let _ = is_wanted.wait_for(|is_wanted| *is_wanted).await;
    }

    /// Adds an epoch that was drawn since one was wanted.
    pub fn add(&self, drawn: Epoch) {
        self.add_revision(drawn);
        self.is_wanted.send_replace(false);
    }

    /// Adds the revision of any write of this term: it is above the epochs drawn before and below that of the next term.
    pub fn add_revision(&self, revision: Epoch) {
        let mut state = self.lock();
        state.newest = state.newest.max(revision);
        drop(state);
        self.changes.send_replace(());
    }

    fn change_starts(&self, worker: &WorkerId, change: impl FnOnce(&mut UnsettledStarts)) {
        if let Some(assigned) = self.lock().workers.get_mut(worker) {
            change(&mut assigned.starts);
        }
        self.changes.send_replace(());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
