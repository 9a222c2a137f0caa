use lycheeyard_protocol::{WorkerId, platform::TaskState};
use std::collections::BTreeSet;

/// What the workers say of a gang as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangStatus {
    /// At least one worker has not answered since the last step.
    Unclear,
    /// At least one worker has been silent for too long.
    Silent,
    /// All tasks hold their accelerators, and at least one waits for its start.
    Prepared,
    /// All tasks run or have ended well.
    Running,
    /// All tasks ended well.
    Succeeded,
    /// No task holds accelerators, and not all ended well.
    Ended,
    /// Some tasks hold accelerators and others were lost.
    Partial,
}

/// What is known of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sight {
    /// Its worker has not answered since the last step.
    Unknown,
    /// Its worker has been silent for too long.
    Silent,
    /// Its worker answered; a task that the worker does not know counts as stopped.
    Seen {
        /// The task's state.
        state: TaskState,
        /// The run time in milliseconds that its checkpoint keeps.
        checkpoint_ms: u64,
    },
}

/// One task of a gang with its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskSight {
    /// The worker.
    pub worker: WorkerId,
    /// What is known.
    pub sight: Sight,
}

/// What is known of every task that a job's placement names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GangView {
    /// One task a worker.
    pub tasks: Vec<TaskSight>,
}

impl GangView {
    /// Sums up the tasks.
    #[must_use]
    pub fn status(&self) -> GangStatus {
        let states = self.tasks.iter().filter_map(TaskSight::state);
        let states: BTreeSet<TaskState> = states.collect();
        let lost = states.contains(&TaskState::Failed) || states.contains(&TaskState::Stopped);
        let holds = states.contains(&TaskState::Prepared) || states.contains(&TaskState::Running);
        let any = |sight| self.tasks.iter().any(|task| task.sight == sight);
        // A lost task decides even where another worker has not answered.
        if lost && holds {
            GangStatus::Partial
        } else if any(Sight::Silent) {
            GangStatus::Silent
        } else if any(Sight::Unknown) {
            GangStatus::Unclear
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

    /// The workers whose tasks failed by themselves.
    #[must_use]
    pub fn failed_on(&self) -> BTreeSet<WorkerId> {
        let failed = |task: &&TaskSight| task.state() == Some(TaskState::Failed);
        let failed = self.tasks.iter().filter(failed);
        failed.map(|task| task.worker.clone()).collect()
    }

    /// Whether a task is lost or its worker silent, so that the others' leases must not be renewed.
    #[must_use]
    pub fn must_lapse(&self) -> bool {
        let lost = |state| matches!(state, TaskState::Failed | TaskState::Stopped);
        let mut states = self.tasks.iter().filter_map(TaskSight::state);
        let silent = self.tasks.iter().any(|task| task.sight == Sight::Silent);
        silent || states.any(lost)
    }
}

impl TaskSight {
    fn state(&self) -> Option<TaskState> {
        match self.sight {
            Sight::Seen { state, .. } => Some(state),
            Sight::Unknown | Sight::Silent => None,
        }
    }

    /// Whether the worker says that the task holds no accelerators any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let state = self.state();
        state.is_some_and(|state| !matches!(state, TaskState::Prepared | TaskState::Running))
    }
}
