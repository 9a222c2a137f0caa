use lycheeyard_protocol::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const HALF_LIFE: Duration = Duration::from_secs(6 * 60 * 60);

/// The accelerator time that an organisation has used, in milliseconds, with a half-life of six hours.
#[derive(Clone, Copy, Debug, Deserialize, Default, PartialEq, Serialize)]
pub struct DecayedUsage {
    accelerator_ms: f64,
    as_of: Timestamp,
}

impl DecayedUsage {
    /// Returns the decayed usage at `now`, which must not precede the last update.
    #[must_use]
    pub fn at(self, now: Timestamp) -> f64 {
        let halvings = now.since(self.as_of).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.accelerator_ms * (-halvings).exp2()
    }

    /// Adds the usage of some accelerators over a period that ends at `now`.
    #[must_use]
    pub fn add(self, accelerators: u32, used: Duration, now: Timestamp) -> Self {
        let accelerator_ms = self.at(now) + f64::from(accelerators) * used.as_secs_f64() * 1_000.0;
        Self {
            accelerator_ms,
            as_of: now,
        }
    }
}
