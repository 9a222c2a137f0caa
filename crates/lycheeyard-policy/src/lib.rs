//! Pure decisions of the scheduler and the router.
//!
//! Nothing here performs input or output or reads a clock: the caller hands in a snapshot and the time.

mod guarantees;
mod placement;
mod plan;
mod routing;

pub use guarantees::{GuaranteeMisfit, check_guarantees};
pub use placement::{FreeMap, find_placement};
pub use plan::{
    Action, DecayedUsage, JobKey, RunTimeCorrection, Snapshot, StopReason, explain, plan,
};
pub use routing::{
    Admission, Allowance, FairQueue, Grant, Next, QueueLimits, RetryBudget, RunnerLoad, RunnerSet,
    RunnerSlots, SlotLoan, SlotRefusal, SlotScheduler, TokenBucket, WaiterKey, choose_runner,
    rendezvous_share, try_timeout,
};
