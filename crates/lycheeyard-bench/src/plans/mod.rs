//! Measures planning rounds of the job scheduler.

mod deployment;
mod measure;

pub use deployment::PlanSize;
pub use measure::{PlanTime, measure_plans};
