use super::{JobScheduler, Now, StartAnswer, StopReason, incarnations::MAX_ORDER_DELAY};
use crate::{BootTime, RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};

/// A stop for a late copy is sent again after this, until it is confirmed.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

type CopyKey = (TaskKey, RunNumber);

/// Start orders of which a copy got no answer, by worker.
///
/// The incarnation that an order was meant for rejects late copies of it. The next one knows nothing of it, and has to be told
/// to stop the run before a copy arrives.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredStarts {
    copies: BTreeMap<WorkerId, BTreeMap<CopyKey, LateCopy>>,
}

#[derive(Clone, Debug)]
struct LateCopy {
    /// The copy is not carried out after this.
    may_arrive_until: BootTime,
    /// The stop that the present incarnation has not confirmed.
    stop: Option<PendingStop>,
}

#[derive(Clone, Debug)]
struct PendingStop {
    worker: WorkerKey,
    send_at: BootTime,
}

impl UnansweredStarts {
    /// Whether a copy of a run's start order may still be carried out by a worker.
    pub fn contains(&self, worker: &WorkerId, task: &TaskKey, run: RunNumber) -> bool {
        let copies = self.copies.get(worker);
        copies.is_some_and(|copies| copies.contains_key(&(task.clone(), run)))
    }

    fn add(&mut self, worker: &WorkerId, key: CopyKey, now: BootTime) -> &mut LateCopy {
        let copies = self.copies.entry(worker.clone()).or_default();
        let may_arrive_until = now.after(MAX_ORDER_DELAY);
        let copy = copies.entry(key).or_insert(LateCopy {
            may_arrive_until,
            stop: None,
        });
        // An earlier copy may have got no answer either.
        copy.may_arrive_until = copy.may_arrive_until.max(may_arrive_until);
        copy
    }

    /// Requests a stop of each run on an incarnation that does not know its order.
    fn request_stops(&mut self, worker: &WorkerKey, now: BootTime) {
        let copies = self.copies.get_mut(&worker.id).into_iter().flatten();
        for (_, copy) in copies {
            copy.stop = Some(PendingStop::new(worker, now));
        }
    }

    fn stop_confirmed(&mut self, worker: &WorkerKey, key: &CopyKey) {
        let copies = self.copies.get_mut(&worker.id);
        if let Some(copy) = copies.and_then(|copies| copies.get_mut(key)) {
            copy.stop.take_if(|stop| stop.worker == *worker);
        }
    }

    /// Forgets copies that are not carried out any more, and takes the stops that are to be sent now.
    fn take_due_stops(&mut self, now: BootTime) -> Vec<(WorkerKey, CopyKey)> {
        let mut due = Vec::new();
        for copies in self.copies.values_mut() {
            copies.retain(|_, copy| !copy.may_arrive_until.is_past(now));
            for (key, copy) in copies {
                let stop = copy.stop.as_mut();
                let Some(stop) = stop.filter(|stop| stop.send_at.is_past(now)) else {
                    continue;
                };
                stop.send_at = now.after(STOP_RETRY_INTERVAL);
                due.push((stop.worker.clone(), key.clone()));
            }
        }
        self.copies.retain(|_, copies| !copies.is_empty());
        due
    }
}

impl PendingStop {
    fn new(worker: &WorkerKey, now: BootTime) -> Self {
        Self {
            worker: worker.clone(),
            send_at: now,
        }
    }
}

impl JobScheduler {
    /// Notes by the outcome of a start order whether a copy of it may still be carried out.
    pub(super) fn note_start_copies(
        &mut self,
        task: &TaskKey,
        run: RunNumber,
        worker: &WorkerKey,
        answer: StartAnswer,
        now: BootTime,
    ) {
        let is_unanswered = matches!(
            answer,
            StartAnswer::PresentByLaterCopy
                | StartAnswer::Refused
                | StartAnswer::Unclear
                | StartAnswer::ConnectionLost
        );
        if !is_unanswered {
            return;
        }
        let current = self.runs.get_mut(task);
        if let Some(current) = current.filter(|current| current.number == run) {
            // No copy is sent after the outcome.
            current.copies_until = now.after(MAX_ORDER_DELAY);
        }
        let present = self.workers.get(&worker.id).map(|entry| &entry.key);
        let key = (task.clone(), run);
        let copy = self.unanswered_starts.add(&worker.id, key, now);
        if let Some(present) = present.filter(|present| *present != worker) {
            copy.stop = Some(PendingStop::new(present, now));
        }
    }

    /// Notes that an incarnation of a worker rejects late copies of a run's start order from now on.
    pub(super) fn note_stopped_copies(
        &mut self,
        task: &TaskKey,
        run: RunNumber,
        worker: &WorkerKey,
    ) {
        let key = (task.clone(), run);
        self.unanswered_starts.stop_confirmed(worker, &key);
    }

    /// Lets a new incarnation of a worker reject the late copies of orders that were meant for former ones.
    pub(super) fn stop_late_copies(&mut self, worker: &WorkerKey, now: Now) {
        self.unanswered_starts.request_stops(worker, now.boot);
        self.send_stops_of_late_copies(now);
    }

    /// Sends the stops that new incarnations have not confirmed.
    pub(super) fn send_stops_of_late_copies(&mut self, now: Now) {
        for (worker, (task, run)) in self.unanswered_starts.take_due_stops(now.boot) {
            self.push_stop(worker, &task, run, StopReason::Unanswered);
        }
    }
}
