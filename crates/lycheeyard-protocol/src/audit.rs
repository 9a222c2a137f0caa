use crate::{
    DataCentreId, Epoch, InstanceId, JobId, ObjectName, OrganisationId, Placement, Revision,
    TicketNumber, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};

/// An event that the audit trail records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AuditEvent {
    /// A ticket was accepted.
    TicketAccepted {
        /// The ticket's number.
        number: TicketNumber,
        /// The configuration revision that it created.
        revision: Revision,
        /// The objects that it changes.
        #[serde(default)]
        objects: Vec<ObjectName>,
    },
    /// A ticket was rejected.
    TicketRefused {
        /// The ticket's number.
        number: TicketNumber,
        /// The objects that it would have changed.
        #[serde(default)]
        objects: Vec<ObjectName>,
        /// The reason, for people to read.
        reason: String,
    },
    /// A gang was placed.
    JobPlaced {
        /// The organisation that owns the job.
        organisation: OrganisationId,
        /// The job.
        job: JobId,
        /// The accelerators that the gang holds.
        placement: Placement,
    },
    /// A job ended or went back to the queue.
    JobReleased {
        /// The organisation that owns the job.
        organisation: OrganisationId,
        /// The job.
        job: JobId,
        /// The reason, for people to read.
        reason: String,
    },
    /// A job was ordered to stop because a guarantee reclaimed its accelerators.
    JobReclaimed {
        /// The organisation that owns the stopped job.
        organisation: OrganisationId,
        /// The stopped job.
        job: JobId,
        /// The organisation whose guarantee reclaimed the accelerators.
        claimant: OrganisationId,
    },
    /// A worker was quarantined: no tasks are placed on it.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker's quarantine ended: tasks may be placed on it again.
    WorkerReturned {
        /// The worker.
        worker: WorkerId,
    },
    /// An instance acquired a scheduler lease in a new epoch.
    LeaseTaken {
        /// The new epoch.
        epoch: Epoch,
    },
    /// An instance resigned a scheduler lease.
    LeaseResigned {
        /// The epoch that ended.
        epoch: Epoch,
    },
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// When the event was recorded, by the instance's clock.
    pub at: Timestamp,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// What happened.
    #[serde(flatten)]
    pub event: AuditEvent,
}
