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
    pub fn remaining_path_ms(&self, from: usize, run_ms: impl Fn(&Step) -> u64 + Copy) -> u64 {
        let dependents = self.steps.iter().enumerate().skip(from + 1);
        let rest = dependents
            .filter(|(_, step)| step.after.contains(&from))
            .map(|(index, _)| self.remaining_path_ms(index, run_ms))
            .max()
            .unwrap_or(0);
        run_ms(&self.steps[from]).saturating_add(rest)
    }

    /// Returns the length of the critical path over all steps, in milliseconds of run time.
    #[must_use]
    pub fn critical_path_ms(&self, run_ms: impl Fn(&Step) -> u64 + Copy) -> u64 {
        let first_steps = (0..self.steps.len()).filter(|&index| self.steps[index].after.is_empty());
        first_steps
            .map(|index| self.remaining_path_ms(index, run_ms))
            .max()
            .unwrap_or(0)
    }
}
