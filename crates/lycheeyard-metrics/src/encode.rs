use crate::start_metrics;
use prometheus::{Encoder, TextEncoder};

/// Encodes all metrics of the process in the Prometheus text format.
#[must_use]
pub fn encode_metrics() -> String {
    let registry = start_metrics();
    let mut text = Vec::new();
    if let Err(err) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        tracing::warn!("metrics: encoding failed: {err}");
    }
    String::from_utf8_lossy(&text).into_owned()
}
