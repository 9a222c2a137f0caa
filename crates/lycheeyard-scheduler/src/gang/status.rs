use lycheeyard_protocol::platform::TaskState;

/// What the workers say of a gang as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangStatus {
    /// At least one worker did not answer.
    Unclear,
    /// All tasks run.
    Running,
    /// All tasks ended well.
    Succeeded,
    /// No task holds accelerators, and not all ended well.
    Ended {
        /// Whether a task failed by itself.
        failed: bool,
        /// The run time in milliseconds that every task's checkpoint keeps.
        checkpoint_ms: u64,
    },
    /// Some tasks hold accelerators and others do not.
    Partial,
}

/// One task as its worker reports it; a task that the worker does not know counts as stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskView {
    /// The task's state.
    pub state: TaskState,
    /// The run time in milliseconds that its checkpoint keeps.
    pub checkpoint_ms: u64,
}

impl GangStatus {
    /// Sums up the tasks of a gang; `None` stands for a worker that did not answer.
    #[must_use]
    pub fn of(tasks: &[Option<TaskView>]) -> Self {
        let Some(tasks) = tasks.iter().copied().collect::<Option<Vec<_>>>() else {
            return Self::Unclear;
        };
        let all = |state| tasks.iter().all(|task| task.state == state);
        let holding =
            |task: &TaskView| matches!(task.state, TaskState::Prepared | TaskState::Running);
        if all(TaskState::Running) {
            Self::Running
        } else if all(TaskState::Succeeded) {
            Self::Succeeded
        } else if tasks.iter().any(holding) {
            let ended_well = |task: &TaskView| holding(task) || task.state == TaskState::Succeeded;
            if tasks.iter().all(ended_well) {
                Self::Running
            } else {
                Self::Partial
            }
        } else {
            Self::Ended {
                failed: tasks.iter().any(|task| task.state == TaskState::Failed),
                checkpoint_ms: tasks
                    .iter()
                    .map(|task| task.checkpoint_ms)
                    .min()
                    .unwrap_or(0),
            }
        }
    }
}
