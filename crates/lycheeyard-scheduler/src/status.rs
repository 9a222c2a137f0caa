use lycheeyard_state::HeldLease;

/// The status that a scheduler publishes to the rest of its instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStatus {
    /// The scheduler lease, while this instance holds it.
    pub held: Option<HeldLease>,
}
