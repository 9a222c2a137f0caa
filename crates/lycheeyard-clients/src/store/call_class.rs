use strum::{Display, EnumIter, EnumString};

/// What a store call is for; earlier classes keep their share when the store is slow.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum CallClass {
    /// Scheduler leases.
    Lease,
    /// Claims of non-idempotent requests.
    Claim,
    /// Tickets and configuration.
    Ticket,
    /// Job records.
    Job,
    /// The audit trail.
    Audit,
}
