use lycheeyard_state::HeldLease;

/// The published status of a scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStatus {
    /// The scheduler lease, while this instance holds it.
    pub held: Option<HeldLease>,
}
