use crate::start::lines_left_out;
use opentelemetry::global::meter;
use std::time::Duration;
use tokio::time::sleep;
use tracing::warn;

/// How often it is told that lines were left out.
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// Exports how many lines this process has left out. The metrics must have been started before.
pub fn export_dropped_lines() {
    // The meter keeps the counter.
    let _ = meter("lycheeyard")
        .u64_observable_counter("lycheeyard_log_lines_left_out")
        .with_callback(|observer| observer.observe(lines_left_out(), &[]))
        .build();
}

/// Tells in a line of its own whenever lines were left out; never ends.
pub async fn report_dropped_lines() {
    let mut known = 0;
    loop {
        sleep(REPORT_EVERY).await;
        let now = lines_left_out();
        if now > known {
            warn!(lines = now - known, "logs: lines were left out");
        }
        known = now;
    }
}
