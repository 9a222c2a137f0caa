//! What lasts: tickets, configuration, job records, claims and scheduler leases, kept in the platform's store.

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
    ClaimBook, ClaimProgress, ClaimRecord, ClaimState, ClaimStep, ClaimStore, HeldClaim,
    PresentClaim, StoredAnswer, StoredBody, StoredHeader,
};
pub use config::{
    AcceptedTicket, ConfigFollower, ConfigHead, ConfigUpdate, Configuration, PeerUpdate,
    RelayedTicket, SnapshotPointer,
};
pub use error::StateError;
pub use jobs::{
    BookStore, FINAL_RETENTION, JobChanges, JobStore, SaveOutcome, StoredBook, StoredJob,
    SubmitOutcome,
};
pub use lease::{HeldLease, LeaseStep, SchedulerLease};
pub use nonce::make_nonce;
pub use tickets::{TicketOutcome, TicketStore};
