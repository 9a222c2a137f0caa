use lycheeyard_jobs::{SpeedChange, SpeedClass};
use tracing::info;

/// Logs which workers are classified as slow, or have recovered.
pub(super) fn log_speed_changes(changes: &[SpeedChange]) {
    for change in changes {
        let SpeedChange {
            worker,
            class,
            speed_percent,
        } = change;
        match class {
            SpeedClass::Usual => info!(%worker, speed_percent, "speed: worker has recovered"),
            SpeedClass::SlowForNow | SpeedClass::Slow => {
                info!(%worker, speed_percent, %class, "speed: worker is slow");
            }
        }
    }
}
