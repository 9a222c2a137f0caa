use super::JobKey;
use lycheeyard_protocol::{OrganisationId, Placement};

/// A step that the scheduler carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts a whole gang.
    Start {
        /// The job.
        job: JobKey,
        /// All its accelerators.
        placement: Placement,
    },
    /// Takes accelerators back from a job, which goes back to the queue.
    Reclaim {
        /// The job that gives way.
        job: JobKey,
        /// The organisation whose guarantee asks for the accelerators.
        claimant: OrganisationId,
    },
    /// Ends a job that can never run.
    Retire {
        /// The job.
        job: JobKey,
        /// Why, for people.
        reason: String,
    },
}
