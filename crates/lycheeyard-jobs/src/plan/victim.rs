use super::running_tasks::RunningTask;
use crate::TaskKey;

/// The hosts on which a step can start once the victims have ended.
#[derive(Clone, Debug)]
pub(super) struct Preemption {
    /// The host index for each task of the step.
    pub hosts: Vec<usize>,
    pub victims: Vec<TaskKey>,
}

/// A run that may be stopped for a step, or is being stopped.
pub(super) struct Victim<'a> {
    pub run: &'a RunningTask,
    pub cost: u64,
}
