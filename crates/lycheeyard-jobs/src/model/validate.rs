use super::{Job, Step, progress::MAX_OPEN_TASKS};
use thiserror::Error;

const MAX_PAYLOAD_BYTES: usize = 4000;
const MAX_STEPS: usize = 256;
const MAX_TASKS: u32 = 20_000;

/// The reason why a job is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobError {
    /// The job has no steps or too many; carries their number.
    #[error("a job needs 1 to {MAX_STEPS} steps, this one has {0}")]
    Steps(usize),
    /// The payload is too long; carries its length in bytes.
    #[error("the payload may have {MAX_PAYLOAD_BYTES} bytes, this one has {0}")]
    Payload(usize),
    /// A step has no tasks, or too many.
    #[error("step {step} needs 1 to {MAX_TASKS} tasks, it has {tasks}")]
    Tasks {
        /// The position of the step.
        step: usize,
        /// The number of its tasks.
        tasks: u32,
    },
    /// The steps have too many tasks in total; carries their number.
    #[error("a job may have {MAX_OPEN_TASKS} tasks, this one has {0}")]
    AllTasks(u64),
    /// A step depends on itself or on a later step.
    #[error("step {step} can only come after earlier steps, not after {after}")]
    Order {
        /// The position of the step.
        step: usize,
        /// The position of the step that it depends on.
        after: usize,
    },
    /// A schedule has no repetitions.
    #[error("a schedule needs at least one repetition")]
    Repetitions,
}

impl Job {
    /// Validates a job before it is accepted.
    ///
    /// # Errors
    /// Returns the first violated rule.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::Steps(self.steps.len()));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::Payload(self.payload.len()));
        }
        if self
            .schedule
            .is_some_and(|schedule| schedule.repetitions == 0)
        {
            return Err(JobError::Repetitions);
        }
        let mut steps = self.steps.iter().enumerate();
        steps.try_for_each(|(index, step)| check_step(index, step))?;
        match self.tasks() {
            tasks if tasks > MAX_OPEN_TASKS => Err(JobError::AllTasks(tasks)),
            _ => Ok(()),
        }
    }
}

fn check_step(index: usize, step: &Step) -> Result<(), JobError> {
    if step.tasks == 0 || step.tasks > MAX_TASKS {
        return Err(JobError::Tasks {
            step: index,
            tasks: step.tasks,
        });
    }
    match step.after.iter().find(|&&after| after >= index) {
        Some(&after) => Err(JobError::Order { step: index, after }),
        None => Ok(()),
    }
}
