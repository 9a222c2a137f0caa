//! Pure decisions of the scheduler and the router.
//!
//! Nothing here performs input or output or reads a clock: the caller hands in a snapshot and the time.

mod grid;
mod guarantees;
mod plan;
mod routing;

pub use guarantees::{GuaranteeMisfit, LeastChange, check_guarantees, guarantee_shortfall};
pub use plan::{
    Action, DecayedUsage, JobKey, RunTimeCorrection, Snapshot, StopReason, explain, plan,
};
pub use routing::{
    Admission, Allowance, FairQueue, Grant, QueueDecision, QueueLimits, RetryBudget, RunnerLoad,
    RunnerSet, RunnerSlots, SlotLoan, SlotRefusal, SlotScheduler, TokenBucket, WaiterKey,
    choose_runner, rendezvous_share, try_timeout,
};
