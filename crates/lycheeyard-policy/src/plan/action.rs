use super::JobKey;
use lycheeyard_protocol::{OrganisationId, Placement, Timestamp};
use strum::Display;

/// Why a running job has to give its accelerators up.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// An organisation takes its guaranteed shape back.
    Reclaim {
        /// The organisation whose guarantee asks for the accelerators.
        claimant: OrganisationId,
    },
    /// It overran its estimate into a reservation.
    Overrun {
        /// The job that the accelerators are reserved for.
        reserved_for: JobKey,
    },
    /// It moves so that larger blocks become whole.
    Defragment,
}

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
    /// Stops a whole gang, which goes back to the queue.
    Stop {
        /// The job.
        job: JobKey,
        /// Why.
        reason: StopReason,
        /// Whether to ask for a checkpoint first.
        checkpoint: bool,
        /// When the checkpoint is no longer waited for.
        checkpoint_until: Timestamp,
    },
    /// Ends a job that can never run.
    Retire {
        /// The job.
        job: JobKey,
        /// Why, for people.
        reason: String,
    },
}
