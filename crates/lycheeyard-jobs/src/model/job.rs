use super::{QueuePolicy, Step};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId, Timestamp};
use serde::{Deserialize, Serialize};

/// A job as it was submitted; never changed afterwards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Names the job; unique over all queues.
    pub id: JobId,
    /// The queue that took it.
    pub queue: QueueId,
    /// The queue's policy at the submission, used where the configuration no longer has the queue.
    pub policy: QueuePolicy,
    /// Whose job it is.
    pub organisation: OrganisationId,
    /// Text that each task is started with.
    pub payload: String,
    /// The steps; a step refers to others by their position.
    pub steps: Vec<Step>,
    /// When the steps run, if not once and at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was submitted.
    pub submitted_at: Timestamp,
}

/// Runs the steps of a job several times.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// How many times.
    pub repetitions: u32,
    /// When the first occurrence is due.
    pub first_at: Timestamp,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Job {
    /// How many times the steps run in all.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions)
    }

    /// When an occurrence is due.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Timestamp {
        let Some(schedule) = self.schedule else {
            return self.submitted_at;
        };
        let offset = u64::from(occurrence).saturating_mul(schedule.interval_ms);
        Timestamp(schedule.first_at.0.saturating_add(offset))
    }

    /// The steps in short, for logs.
    #[must_use]
    pub fn summary(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(Step::to_string).collect();
        steps.join(" ")
    }

    /// The longest chain of run times from the start of a step to the end, in milliseconds.
    #[must_use]
    pub fn chain_ms(&self, from: usize, run_ms: impl Fn(&Step) -> u64 + Copy) -> u64 {
        let followers = self.steps.iter().enumerate().skip(from + 1);
        let rest = followers
            .filter(|(_, step)| step.after.contains(&from))
            .map(|(index, _)| self.chain_ms(index, run_ms))
            .max()
            .unwrap_or(0);
        run_ms(&self.steps[from]).saturating_add(rest)
    }

    /// The longest chain of run times over all steps, in milliseconds.
    #[must_use]
    pub fn longest_chain_ms(&self, run_ms: impl Fn(&Step) -> u64 + Copy) -> u64 {
        let starts = (0..self.steps.len()).filter(|&index| self.steps[index].after.is_empty());
        starts
            .map(|index| self.chain_ms(index, run_ms))
            .max()
            .unwrap_or(0)
    }
}
