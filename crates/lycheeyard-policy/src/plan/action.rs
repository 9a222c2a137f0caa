use super::JobKey;
use lycheeyard_protocol::{OrganisationId, Placement, Timestamp};
use strum::Display;

/// Why a running job is stopped.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// An organisation reclaims its guaranteed shape.
    Reclaim {
        /// The organisation that reclaims its guarantee.
        claimant: OrganisationId,
    },
    /// The job ran longer than estimated and holds up a reservation.
    Overrun {
        /// The job that the accelerators are reserved for.
        reserved_for: JobKey,
    },
    /// The job has to move so that a larger contiguous block becomes free.
    Defragment,
}

/// An action for the scheduler to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts a whole gang.
    Start {
        /// The job.
        job: JobKey,
        /// All its accelerators.
        placement: Placement,
    },
    /// Stops a whole gang; its job returns to the queue.
    Stop {
        /// The job.
        job: JobKey,
        /// Why it is stopped.
        reason: StopReason,
        /// Whether to request a checkpoint first.
        checkpoint: bool,
        /// When to stop waiting for the checkpoint.
        checkpoint_until: Timestamp,
    },
    /// Ends a job that can never run.
    Retire {
        /// The job.
        job: JobKey,
        /// A human-readable reason.
        reason: String,
    },
}
