//! Exports the metrics of a process in the Prometheus text format.

mod encode;
mod provider;

pub use encode::encode_metrics;
pub use provider::start_metrics;
