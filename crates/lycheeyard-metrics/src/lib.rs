//! Exports the metrics of a process in Prometheus text form.

mod encode;
mod provider;

pub use encode::encode_metrics;
pub use provider::start_metrics;
