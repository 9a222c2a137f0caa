use strum::{Display, EnumIter, EnumString};

/// What a store call is for, by falling priority.
///
/// When an instance runs short of calls within its rate limit, it rejects calls of later classes first.
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
