mod admitted;
mod gate;
mod refusal;

pub use admitted::Admitted;
pub use gate::{CallGate, FreshnessLimits};
pub use refusal::Refusal;
