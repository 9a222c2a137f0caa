use super::{JobScheduler, RunPhase, StartAnswer, incarnations::MAX_ORDER_DELAY};
use crate::{BootTime, RunNumber, TaskKey, WorkerKey};

/// For an order of which no copy is carried out any more.
const NO_COPY: BootTime = BootTime(0);

impl JobScheduler {
    /// Notes by the outcome of a start order until when copies of it may be carried out.
    pub(super) fn note_start_copies(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        answer: StartAnswer,
        now: BootTime,
    ) {
        let run = self.runs.get_mut(task);
        let Some(run) = run.filter(|run| run.number == number) else {
            return;
        };
        run.awaits_outcome = false;
        run.copies_until = copies_until(answer, now);
        if run.copies_until == NO_COPY {
            self.record_answered(task);
        } else {
            self.write_proofs(task);
        }
    }

    /// Notes that no copies of the start orders of runs on an incarnation of a worker are carried out any more, since it was seen after
    /// the time for them had passed. A successor would wait for them anew.
    pub(super) fn note_past_copies(&mut self, worker: &WorkerKey) {
        let Some(entry) = self.worker_mut(worker) else {
            return;
        };
        let seen_at = entry.seen_at;
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        for task in tasks {
            let run = self.runs.get_mut(&task);
            let run = run.filter(|run| run.worker == *worker && run.phase != RunPhase::Planned);
            let late = run.filter(|run| run.copies_until != NO_COPY);
            if let Some(run) = late.filter(|run| run.copies_until.is_past(seen_at)) {
                run.copies_until = NO_COPY;
                self.record_answered(&task);
            }
        }
    }
}

/// When no copy of a start order is carried out any more, not even by a later incarnation of the worker. An incarnation that
/// has refused a copy for good refuses the others, but the next one does not know of that.
fn copies_until(answer: StartAnswer, now: BootTime) -> BootTime {
    match answer {
        StartAnswer::Present
        | StartAnswer::NoRoom
        | StartAnswer::NoTicket
        | StartAnswer::NotStarted
        | StartAnswer::Unreachable => NO_COPY,
        StartAnswer::PresentByLaterCopy
        | StartAnswer::Refused
        | StartAnswer::Unclear
        | StartAnswer::ConnectionLost => now.after(MAX_ORDER_DELAY),
    }
}
