use lycheeyard_state::HeldLease;

/// What a scheduler shows to others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStatus {
    /// The lease, while it is held.
    pub held: Option<HeldLease>,
}
