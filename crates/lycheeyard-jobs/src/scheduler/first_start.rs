use super::JobScheduler;
use lycheeyard_protocol::{JobId, OrganisationId, Timestamp};

/// The stages of a job before its first start orders, and why it waited in planning rounds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartStages {
    /// When this scheduler learned of the job.
    pub added_at: Timestamp,
    /// When its first tasks were placed on workers.
    pub placed_at: Option<Timestamp>,
    /// When the record of that placement was durable.
    pub durable_at: Option<Timestamp>,
    /// Whether the organisation's guarantee covered the step at its last planning round.
    pub is_guaranteed: bool,
    /// Rounds in which the step waited for the workers that are reserved for it.
    pub rounds_reserved: u32,
    /// Rounds in which no runs were found whose stop makes room, or the stop would have cost too much.
    pub rounds_without_victims: u32,
    /// Rounds in which no runs to stop were looked for.
    pub rounds_not_tried: u32,
}

/// A job whose first start orders have been issued, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FirstStart {
    /// The job.
    pub job: JobId,
    /// The organisation that owns it.
    pub organisation: OrganisationId,
    /// The priority of its queue.
    pub priority: u32,
    /// When it was submitted, on the clock of the instance that accepted it.
    pub submitted_at: Timestamp,
    /// The stages up to the start orders.
    pub stages: StartStages,
}

impl JobScheduler {
    /// Takes the jobs whose first start orders were issued since the last call.
    pub fn take_first_starts(&mut self) -> Vec<FirstStart> {
        std::mem::take(&mut self.first_starts)
    }

    /// Notes that start orders of a job are issued; only the first time matters.
    pub(super) fn note_start(&mut self, id: &JobId, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if entry.stages.durable_at.is_some() {
            return;
        }
        entry.stages.durable_at = Some(now);
        let (job, stages) = (entry.job.clone(), entry.stages);
        let priority = self.queue_policy(&job).priority;
        self.first_starts.push(FirstStart {
            job: id.clone(),
            organisation: job.organisation.clone(),
            priority,
            submitted_at: job.submitted_at,
            stages,
        });
    }
}
