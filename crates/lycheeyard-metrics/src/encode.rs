use crate::start_metrics;
use prometheus::{Encoder, TextEncoder};

/// The process's metrics in Prometheus text form.
#[must_use]
pub fn encode_metrics() -> String {
    let registry = start_metrics();
    let mut text = Vec::new();
    if let Err(err) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        tracing::warn!("metrics: not encoded: {err}");
    }
    String::from_utf8_lossy(&text).into_owned()
}
