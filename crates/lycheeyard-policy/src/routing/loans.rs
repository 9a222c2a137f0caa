use lycheeyard_protocol::RunnerId;
use std::time::Duration;

/// Slots of a runner that one instance lends to another for a limited time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotLoan {
    /// The runner.
    pub runner: RunnerId,
    /// The number of slots.
    pub slots: u32,
    /// When the loan ends, on the clock of the instance that holds this value.
    pub until: Duration,
}
