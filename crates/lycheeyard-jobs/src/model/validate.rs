use super::{Job, Step, record_size::MAX_BEGUN_TASKS};
use thiserror::Error;

const MAX_PAYLOAD_BYTES: usize = 4000;
pub(super) const MAX_STEPS: usize = 256;
const MAX_TASKS: u32 = 20_000;
/// The maximum number of tasks of one occurrence of a job.
pub(super) const MAX_JOB_TASKS: u64 = 100_000;

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
    #[error("a job may have {MAX_JOB_TASKS} tasks, this one has {0}")]
    AllTasks(u64),
    /// More tasks have to be present at a time, as members of a gang or since they never end, than the record of a job has room for;
    /// carries their number.
    #[error("a job may have {MAX_BEGUN_TASKS} tasks that are present at a time, this one has {0}")]
    PresentTasks(u64),
    /// A step depends on a step beyond those that a job can have; carries its position.
    #[error("there can be no step {0}")]
    NoSuchStep(usize),
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
        let tasks = self.tasks();
        if tasks > MAX_JOB_TASKS {
            return Err(JobError::AllTasks(tasks));
        }
        let present = self.present_tasks();
        if usize::try_from(present).is_ok_and(|present| present <= MAX_BEGUN_TASKS) {
            Ok(())
        } else {
            Err(JobError::PresentTasks(present))
        }
    }

    /// Returns the number of tasks of one occurrence that have to be present at a time: the long-running ones, and the largest gang.
    fn present_tasks(&self) -> u64 {
        let count = |step: &Step| u64::from(step.tasks);
        let lasting = self.steps.iter().filter(|step| step.long_running);
        let gangs = self.steps.iter().filter(|step| step.gang);
        let largest_gang = gangs.map(count).max().unwrap_or(0);
        lasting.map(count).sum::<u64>().max(largest_gang)
    }
}

fn check_step(index: usize, step: &Step) -> Result<(), JobError> {
    if step.tasks == 0 || step.tasks > MAX_TASKS {
        return Err(JobError::Tasks {
            step: index,
            tasks: step.tasks,
        });
    }
    match step.after.iter().find(|&after| after >= index) {
        Some(after) => Err(JobError::Order { step: index, after }),
        None => Ok(()),
    }
}
