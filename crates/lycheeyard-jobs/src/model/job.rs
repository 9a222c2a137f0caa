use super::{QueuePolicy, Step};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId, Timestamp};
use serde::{Deserialize, Serialize};

/// A job as it was submitted. It is immutable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The identifier of the job, unique over all queues.
    pub id: JobId,
    /// The queue that accepted it.
    pub queue: QueueId,
    /// The policy of the queue at submission, used if the configuration no longer has the queue.
    pub policy: QueuePolicy,
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The text that is passed to each task at its start.
    pub payload: String,
    /// The steps; a step refers to others by their position.
    pub steps: Vec<Step>,
    /// When the steps run; `None` runs them once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was submitted.
    pub submitted_at: Timestamp,
}

/// Runs the steps of a job repeatedly, at a fixed interval.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub repetitions: u32,
    /// When the first occurrence is due.
    pub first_at: Timestamp,
    /// The time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Job {
    /// Returns how many times the steps run in total.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions)
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns when an occurrence is due.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Timestamp {
        let Some(schedule) = self.schedule else {
            return self.submitted_at;
        };
        let offset = u64::from(occurrence).saturating_mul(schedule.interval_ms);
        Timestamp(schedule.first_at.0.saturating_add(offset))
    }

    /// Returns a short description of the steps for log lines.
    #[must_use]
    pub fn summary(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(Step::to_string).collect();
        steps.join(" ")
    }

    /// Returns the length of the longest path from the start of step `from` to the end of the job, in milliseconds of
    /// run time.
    #[must_use]
    pub fn remaining_path_ms(&self, from: usize, run_ms: impl Fn(&Step) -> u64) -> u64 {
        let paths = self.remaining_paths_ms(from, run_ms);
        paths.first().copied().unwrap_or(0)
    }

    /// Returns the length of the critical path over all steps, in milliseconds of run time.
    #[must_use]
    pub fn critical_path_ms(&self, run_ms: impl Fn(&Step) -> u64) -> u64 {
        let paths = self.remaining_paths_ms(0, run_ms);
        paths.into_iter().max().unwrap_or(0)
    }

    /// Returns the length of the longest path from the start of each step, beginning with `from`, to the end of the job. A step comes
    /// after earlier ones only, so that one pass from the last step to the first looks at each once.
    fn remaining_paths_ms(&self, from: usize, run_ms: impl Fn(&Step) -> u64) -> Vec<u64> {
        let steps = self.steps.get(from..).unwrap_or_default();
        let mut paths = vec![0; steps.len()];
        let mut longest_after = vec![0; steps.len()];
        for (index, step) in steps.iter().enumerate().rev() {
            let path = run_ms(step).saturating_add(longest_after[index]);
            paths[index] = path;
            let before = step
                .after
                .iter()
                .filter_map(|before| before.checked_sub(from));
            for before in before.filter(|before| *before < index) {
                longest_after[before] = path.max(longest_after[before]);
            }
        }
        paths
    }
}
