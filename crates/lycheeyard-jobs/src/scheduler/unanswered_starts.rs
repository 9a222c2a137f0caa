use super::{JobScheduler, StartAnswer, incarnations::MAX_ORDER_DELAY};
use crate::{BootTime, RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::collections::BTreeMap;

/// Start orders of which a copy got no answer, by worker, and until when the copy may be carried out.
///
/// The incarnation that an order was meant for rejects late copies of it. The next one carries them out as long as it has not
/// reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredStarts {
    copies: BTreeMap<WorkerId, BTreeMap<(TaskKey, RunNumber), BootTime>>,
}

impl UnansweredStarts {
    /// Whether a copy of a run's start order may still be carried out by a worker.
    pub fn contains(&self, worker: &WorkerId, task: &TaskKey, run: RunNumber) -> bool {
        let copies = self.copies.get(worker);
        copies.is_some_and(|copies| copies.contains_key(&(task.clone(), run)))
    }

    fn add(&mut self, worker: &WorkerId, task: &TaskKey, run: RunNumber, now: BootTime) {
        let copies = self.copies.entry(worker.clone()).or_default();
        let key = (task.clone(), run);
        copies.entry(key).or_insert(now.after(MAX_ORDER_DELAY));
    }

    /// Forgets copies that are not carried out any more.
    pub fn forget_past(&mut self, now: BootTime) {
        for copies in self.copies.values_mut() {
            copies.retain(|_, may_arrive_until| !may_arrive_until.is_past(now));
        }
        self.copies.retain(|_, copies| !copies.is_empty());
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
        if is_unanswered {
            self.unanswered_starts.add(&worker.id, task, run, now);
        }
    }
}
