use crate::{BootTime, RunNumber, RunPhase, TaskKey, WorkerKey};

/// A run that has been placed and that its worker has not confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingStart {
    /// The task.
    pub task: TaskKey,
    /// The run. A high number tells of earlier starts that failed or were stopped.
    pub run: RunNumber,
    /// The worker that is to start it.
    pub worker: WorkerKey,
    /// How far the start has come.
    pub phase: RunPhase,
    /// When it was placed.
    pub since: BootTime,
}

impl PendingStart {
    /// Describes the start, in one line.
    pub(super) fn detail(&self, now: BootTime) -> String {
        let (task, worker) = (&self.task, &self.worker.id);
        let (run, phase) = (self.run, self.phase);
        let waited_ms = now.since(self.since).as_millis();
        format!("{task}@{worker} run {run} {phase}, for {waited_ms} ms")
    }
}
