//! Durable state in the platform's store: tickets, configuration, job records, claims, scheduler leases and the
//! audit trail.

mod audit;
mod claims;
mod config;
mod error;
mod jobs;
mod lease;
mod nonce;
mod tickets;

pub use audit::{AuditFilter, AuditLog, AuditTrail};
pub use claims::{
    ClaimOutcome, ClaimProgress, ClaimRecord, ClaimRegistry, ClaimState, ClaimStore, ExistingClaim,
    HeldClaim, StoredAnswer, StoredBytes, StoredHeader,
};
pub use config::{
    AcceptedTicket, ConfigFollower, ConfigHead, ConfigUpdate, Configuration, PeerUpdate,
    RelayedTicket, SnapshotPointer,
};
pub use error::StateError;
pub use jobs::{
    FINAL_RETENTION, JobChanges, JobStore, SaveOutcome, SchedulerStateStore, StoredJob,
    StoredSchedulerState, SubmitOutcome, UnreadableJob,
};
pub use lease::{HeldLease, LeaseOutcome, SchedulerLease};
pub use nonce::make_nonce;
pub use tickets::{TicketOutcome, TicketStore};
