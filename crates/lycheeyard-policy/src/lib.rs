//! Placement, preemption and routing decisions as pure functions.
//!
//! Nothing in this crate performs I/O or reads a clock: the caller passes in a snapshot and the current time.

mod grid;
mod guarantees;
mod plan;
mod routing;

pub use guarantees::{InfeasibleGuarantees, SmallestChange, check_guarantees, guarantee_shortfall};
pub use plan::{
    Action, DecayedUsage, JobKey, RunTimeCorrection, Snapshot, StopReason, explain, plan,
};
pub use routing::{
    Admission, Allowance, FairQueue, Grant, QueueDecision, QueueLimits, RetryBudget, RunnerLoad,
    RunnerSet, RunnerSlots, SlotLoan, SlotRefusal, SlotScheduler, TokenBucket, WaiterKey,
    choose_runner, rendezvous_share, try_timeout,
};
