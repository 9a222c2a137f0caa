use lycheeyard_protocol::{WorkerId, platform::TaskState};
use std::collections::BTreeSet;

/// The status of a whole gang, derived from the reports of its workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangStatus {
    /// The state of at least one task is unknown.
    Unknown,
    /// At least one worker has been silent for longer than the silence limit.
    Silent,
    /// All tasks are prepared, running or succeeded, and at least one is only prepared.
    Prepared,
    /// All tasks run or have succeeded, and at least one runs.
    Running,
    /// All tasks succeeded.
    Succeeded,
    /// No task holds accelerators, and not all succeeded.
    Ended,
    /// Some tasks hold accelerators while others failed or were stopped.
    Partial,
}

/// What the scheduler has observed of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskObservation {
    /// Its worker has not reported since the last step, or the report lacks the task but a late call could still start
    /// it.
    Unknown,
    /// Its worker has been silent for longer than the silence limit.
    Silent,
    /// Its worker has reported; a task that the report lacks and that can no longer start counts as stopped.
    Reported {
        /// The state of the task.
        state: TaskState,
        /// The run time that its checkpoint preserves, in milliseconds.
        checkpoint_ms: u64,
    },
}

/// One task of a gang, with its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedTask {
    /// The worker that the task is placed on.
    pub worker: WorkerId,
    /// What has been observed of the task.
    pub observation: TaskObservation,
}

/// The observed tasks of a gang, as the job's placement names them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GangView {
    /// One task for each worker.
    pub tasks: Vec<ObservedTask>,
}

impl GangView {
    /// Derives the status of the gang from its tasks.
    #[must_use]
    pub fn status(&self) -> GangStatus {
        let states = self.tasks.iter().filter_map(ObservedTask::state);
        let states: BTreeSet<TaskState> = states.collect();
        let lost = states.contains(&TaskState::Failed) || states.contains(&TaskState::Stopped);
        let holds = states.contains(&TaskState::Prepared) || states.contains(&TaskState::Running);
        let any = |observation| {
            self.tasks
                .iter()
                .any(|task| task.observation == observation)
        };
        // A lost task makes the gang partial even if another worker has not reported.
        if lost && holds {
            GangStatus::Partial
        } else if any(TaskObservation::Silent) {
            GangStatus::Silent
        } else if any(TaskObservation::Unknown) {
            GangStatus::Unknown
        } else if lost {
            GangStatus::Ended
        } else if states.contains(&TaskState::Prepared) {
            GangStatus::Prepared
        } else if states.contains(&TaskState::Running) {
            GangStatus::Running
        } else {
            GangStatus::Succeeded
        }
    }

    /// The workers whose tasks failed on their own, not because they were stopped.
    #[must_use]
    pub fn failed_on(&self) -> BTreeSet<WorkerId> {
        let failed = |task: &&ObservedTask| task.state() == Some(TaskState::Failed);
        let failed = self.tasks.iter().filter(failed);
        failed.map(|task| task.worker.clone()).collect()
    }

    /// Whether the leases of the gang's tasks must not be renewed, because a task was lost or a worker is silent.
    #[must_use]
    pub fn must_expire(&self) -> bool {
        let lost = |state| matches!(state, TaskState::Failed | TaskState::Stopped);
        let mut states = self.tasks.iter().filter_map(ObservedTask::state);
        let silent = self
            .tasks
            .iter()
            .any(|task| task.observation == TaskObservation::Silent);
        silent || states.any(lost)
    }
}

impl ObservedTask {
    fn state(&self) -> Option<TaskState> {
        match self.observation {
            TaskObservation::Reported { state, .. } => Some(state),
            TaskObservation::Unknown | TaskObservation::Silent => None,
        }
    }

    /// Whether the worker reported that the task no longer holds accelerators.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let state = self.state();
        state.is_some_and(|state| !matches!(state, TaskState::Prepared | TaskState::Running))
    }
}
