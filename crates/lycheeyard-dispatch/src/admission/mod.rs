mod admitted_call;
mod gate;
mod refusal;

pub use admitted_call::AdmittedCall;
pub use gate::{CallGate, FreshnessLimits};
pub use refusal::Refusal;
