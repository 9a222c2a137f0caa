use crate::start::dropped_lines;
use opentelemetry::global::meter;
use std::time::Duration;
use tokio::time::sleep;
use tracing::warn;

/// How often dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Exports the number of dropped lines as a metric. `start_metrics` must have been called before.
pub fn export_dropped_lines() {
    // The meter holds the counter, so the handle can be dropped.
    let _ = meter("lycheeyard")
        .u64_observable_counter("lycheeyard_log_lines_left_out")
        .with_callback(|observer| observer.observe(dropped_lines(), &[]))
        .build();
}

/// Every 5 seconds, logs a warning if lines were dropped in the meantime; never returns.
pub async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        sleep(REPORT_INTERVAL).await;
        let dropped = dropped_lines();
        if dropped > reported {
            warn!(lines = dropped - reported, "logs: lines were left out");
        }
        reported = dropped;
    }
}
