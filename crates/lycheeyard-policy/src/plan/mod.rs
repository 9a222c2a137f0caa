mod action;
mod round;
mod snapshot;

pub use action::{Action, StopReason};
pub use round::plan;
pub use snapshot::{JobKey, Snapshot};
