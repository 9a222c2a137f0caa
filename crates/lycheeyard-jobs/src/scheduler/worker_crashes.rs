use super::{JobScheduler, Now, RunPhase, WorkerEntry};
use crate::{RunEnd, RunNumber, TaskKey, WorkerKey};

/// A run during which its worker crashed, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerCrash {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The incarnation of the worker that crashed.
    pub worker: WorkerKey,
}

impl JobScheduler {
    /// Takes the runs during which workers crashed since the last call.
    pub fn take_worker_crashes(&mut self) -> Vec<WorkerCrash> {
        std::mem::take(&mut self.worker_crashes)
    }

    /// Ends a run whose worker's incarnation has ended.
    pub(crate) fn end_run_with_worker(&mut self, task: &TaskKey, now: Now) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let number = run.number;
        if run.phase != RunPhase::Planned && !self.is_leaving(&run.worker) {
            self.worker_crashes.push(WorkerCrash {
                task: task.clone(),
                run: number,
                worker: run.worker.clone(),
            });
        }
        self.end_run(task, number, RunEnd::Lost, None, now);
    }

    /// Whether a worker's incarnation has announced that it leaves, or its machine is about to be taken down: its end is
    /// planned then, not a crash.
    fn is_leaving(&self, key: &WorkerKey) -> bool {
        let entry = self.workers.get(&key.id);
        let entry = entry.filter(|entry| entry.key == *key && entry.info.is_some());
        entry.is_some_and(WorkerEntry::is_leaving)
    }
}
