//! The stored form of the tasks of a step: a list if they are few. If they are many, those that are done take a bit each, and those that
//! have not begun take nothing, so that the size of a record depends on the tasks that have begun and are not done.

use super::{MAX_JOB_TASKS, TaskProgress};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Up to this many tasks are stored as a list.
pub(super) const MAX_LISTED_TASKS: usize = 16;
/// The number of tasks whose bits one character holds.
pub(super) const TASKS_PER_DIGIT: usize = 4;

/// The stored form.
#[derive(Deserialize)]
#[serde(untagged)]
enum TaskList {
    Listed(Vec<TaskProgress>),
    /// Instances that know only lists cannot decode it, so that they set the job aside instead of taking its tasks for done.
    Sparse(SparseTasks),
}

#[derive(Deserialize, Serialize)]
struct SparseTasks {
    /// The number of tasks.
    #[serde(rename = "n")]
    count: usize,
    /// The tasks that are done and have no run left: hexadecimal digits of `TASKS_PER_DIGIT` tasks each, the first task in the lowest bit.
    /// Digits that are missing at the end are 0.
    #[serde(rename = "d")]
    done: String,
    /// The other tasks that have begun, with their positions.
    #[serde(rename = "s")]
    begun: Vec<(usize, TaskProgress)>,
}

impl SparseTasks {
    fn new(tasks: &[TaskProgress]) -> Self {
        let unbegun = TaskProgress::default();
        let begun = tasks.iter().enumerate();
        let begun = begun.filter(|(_, task)| !is_over(task) && **task != unbegun);
        Self {
            count: tasks.len(),
            done: done_digits(tasks),
            begun: begun.map(|(index, task)| (index, task.clone())).collect(),
        }
    }

    /// Returns the tasks; `None` if there are too many, or if it names one that is not there.
    fn into_tasks(self) -> Option<Vec<TaskProgress>> {
        if u64::try_from(self.count).ok()? > MAX_JOB_TASKS {
            return None;
        }
        let mut tasks = vec![TaskProgress::default(); self.count];
        for (position, digit) in self.done.chars().enumerate() {
            let bits = digit.to_digit(16)?;
            for bit in (0..TASKS_PER_DIGIT).filter(|bit| bits & (1 << bit) != 0) {
                tasks.get_mut(position * TASKS_PER_DIGIT + bit)?.done = true;
            }
        }
        for (index, task) in self.begun {
            *tasks.get_mut(index)? = task;
        }
        Some(tasks)
    }
}

/// Whether a task is done and has no run left.
fn is_over(task: &TaskProgress) -> bool {
    task.done && task.placement.is_none()
}

fn done_digits(tasks: &[TaskProgress]) -> String {
    let digits = tasks.chunks(TASKS_PER_DIGIT).map(|tasks| {
        let bits = tasks.iter().enumerate();
        let bits = bits.filter(|(_, task)| is_over(task));
        let digit = bits.fold(0, |digit, (bit, _)| digit | (1 << bit));
        char::from_digit(digit, 16).unwrap_or('0')
    });
    let digits: String = digits.collect();
    digits.trim_end_matches('0').to_owned()
}

/// Serializes the tasks of a step.
pub(super) fn serialize<S: Serializer>(tasks: &[TaskProgress], to: S) -> Result<S::Ok, S::Error> {
    if tasks.len() <= MAX_LISTED_TASKS {
        return tasks.serialize(to);
    }
    SparseTasks::new(tasks).serialize(to)
}

/// Deserializes the tasks of a step.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<Vec<TaskProgress>, D::Error> {
    match TaskList::deserialize(from)? {
        TaskList::Listed(tasks) => Ok(tasks),
        TaskList::Sparse(sparse) => sparse
            .into_tasks()
            .ok_or_else(|| D::Error::custom("the tasks do not fit their number")),
    }
}
