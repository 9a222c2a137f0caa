use lycheeyard_protocol::{Incarnation, WorkerId};

/// What was decided when a worker was shown as another incarnation than the one before, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IncarnationChange {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation that was taken as present before.
    pub former: Incarnation,
    /// The other incarnation.
    pub incarnation: Incarnation,
    /// What was decided.
    pub decision: IncarnationDecision,
}

/// What was decided about another incarnation of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationDecision {
    /// A report shows it, and it is taken as present.
    Reported,
    /// A report shows it, but it is known to have ended; the report is ignored.
    ReportIgnored,
    /// The list names it, and it is taken as present.
    Listed,
    /// The list names it, while reports show another one; a report or the silence of the present one decides.
    ListingUnclear,
    /// The list names it, but it is known to have ended; the listing is ignored.
    ListingIgnored,
}
