//! What lasts: tickets, configuration, job records, claims and scheduler leases, kept in the platform's store.

mod audit;
mod claims;
mod config;
mod error;
mod jobs;
mod lease;
mod nonce;
mod tickets;

pub use audit::AuditTrail;
pub use claims::{
    ClaimBook, ClaimProgress, ClaimRecord, ClaimState, ClaimStep, ClaimStore, HeldClaim,
    PresentClaim, StoredAnswer, StoredBody, StoredHeader,
};
pub use config::{AcceptedTicket, ConfigHead, Configuration};
pub use error::StateError;
pub use jobs::{JobStore, StoredJob, SubmitOutcome};
pub use lease::{HeldLease, LeaseStep, SchedulerLease};
pub use nonce::make_nonce;
pub use tickets::{TicketOutcome, TicketStore};
