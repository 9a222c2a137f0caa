//! Shared types of the lycheeyard scheduler.
//!
//! Every other crate depends on this one, and it depends on none of them. It performs no input or output.

mod audit;
mod boot_time;
mod evacuation_status;
mod ids;
mod instance;
mod instant;
mod job;
mod outcome;
mod parse_error;
mod policy_settings;
mod problem;
mod shape;
mod sizes;
mod status;
mod ticket;
mod timestamp;
mod topology;

pub mod platform;

pub use audit::{AuditEntry, AuditEvent};
pub use boot_time::BootTime;
pub use evacuation_status::EvacuationStatus;
pub use ids::{
    DataCentreId, IdempotencyKey, InstanceId, JobId, MachineId, Nonce, OrganisationId, QueueId,
    RackId, RunnerId, ServiceId, TaskId, WorkerId,
};
pub use instance::{Instance, InstanceRole, InstanceState};
pub use job::{
    Allocation, JobCount, JobExplanation, JobRecord, JobSpec, JobState, Placement, Preemption,
    Priority, StopNote, WaitReason,
};
pub use outcome::Outcome;
pub use parse_error::ParseError;
pub use policy_settings::PolicySettings;
pub use problem::{Problem, ProblemKind};
pub use shape::Shape;
pub use sizes::{
    AcceleratorIndex, Bytes, BytesPerSecond, Cores, Epoch, Incarnation, Percent, RequestsPerSecond,
    Revision, Slots, TicketNumber, Weight,
};
pub use status::{InstanceStatus, JobView, StatusReport};
pub use ticket::{
    Digest, Evacuation, EvacuationStart, Guarantee, ObjectName, Organisation, Service, Ticket,
    TicketError,
};
pub use timestamp::Timestamp;
pub use topology::{AcceleratorRef, DataCentre, Rack, Worker};
