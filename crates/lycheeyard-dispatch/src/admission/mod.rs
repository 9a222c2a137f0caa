mod admitted;
mod gate;
mod refusal;

pub use admitted::AdmittedCall;
pub use gate::{CallGate, FreshnessLimits};
pub use refusal::Refusal;
