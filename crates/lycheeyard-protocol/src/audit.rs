use crate::{
    DataCentreId, Epoch, InstanceId, JobId, ObjectName, OrganisationId, Placement, Revision,
    TicketNumber, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};

/// Something worth keeping in the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AuditEvent {
    /// A ticket was accepted.
    TicketAccepted {
        /// The ticket.
        number: TicketNumber,
        /// The revision that it made.
        revision: Revision,
        /// The objects that it touches.
        #[serde(default)]
        objects: Vec<ObjectName>,
    },
    /// A ticket was refused.
    TicketRefused {
        /// The ticket.
        number: TicketNumber,
        /// The objects that it would have touched.
        #[serde(default)]
        objects: Vec<ObjectName>,
        /// Why.
        reason: String,
    },
    /// A gang was placed.
    JobPlaced {
        /// The organisation that owns the job.
        organisation: OrganisationId,
        /// The job.
        job: JobId,
        /// Where it runs.
        placement: Placement,
    },
    /// A job ended or went back to the queue.
    JobReleased {
        /// The organisation that owns the job.
        organisation: OrganisationId,
        /// The job.
        job: JobId,
        /// Why.
        reason: String,
    },
    /// A job was told to give its accelerators back to their organisation.
    JobReclaimed {
        /// The organisation that owns the stopped job.
        organisation: OrganisationId,
        /// The stopped job.
        job: JobId,
        /// The organisation whose guarantee asked for the accelerators.
        claimant: OrganisationId,
    },
    /// A worker was taken out of placement.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker was put back into placement.
    WorkerReturned {
        /// The worker.
        worker: WorkerId,
    },
    /// A scheduler lease changed hands.
    LeaseTaken {
        /// The new epoch.
        epoch: Epoch,
    },
    /// A scheduler lease was given up.
    LeaseResigned {
        /// The epoch that ended.
        epoch: Epoch,
    },
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// When the event was seen.
    pub at: Timestamp,
    /// The data centre whose instance saw it.
    pub data_centre: DataCentreId,
    /// The instance that saw it.
    pub instance: InstanceId,
    /// What happened.
    #[serde(flatten)]
    pub event: AuditEvent,
}
