mod action;
mod round;
mod snapshot;

pub use action::Action;
pub use round::plan;
pub use snapshot::{JobKey, Snapshot};
