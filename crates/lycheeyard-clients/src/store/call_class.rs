use strum::{Display, EnumIter, EnumString};

/// The purpose of a store call, in descending order of priority.
///
/// When an instance comes near its rate limit, it rejects calls of later classes first.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum CallClass {
    /// Scheduler leases.
    Lease,
    /// Claims, which keep non-idempotent requests from running twice.
    Claim,
    /// Tickets and the configuration.
    Ticket,
    /// Job records.
    Job,
    /// The audit trail.
    Audit,
}
