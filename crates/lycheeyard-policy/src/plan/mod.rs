mod action;
mod correction;
mod explain;
mod round;
mod snapshot;
mod usage;

pub use action::{Action, StopReason};
pub use correction::RunTimeCorrection;
pub use explain::explain;
pub use round::plan;
pub use snapshot::{JobKey, Snapshot};
pub use usage::DecayedUsage;
