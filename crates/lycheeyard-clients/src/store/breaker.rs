use super::{CallClass, StoreError};
use std::time::Duration;
use tokio::time::Instant;

const FAILURES_TO_OPEN: u32 = 5;
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Stops calls to a store that fails, but for one probe from time to time.
///
/// Lease calls always pass: they are few, and a lease that cannot be renewed ends work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Breaker {
    failures: u32,
    pause: Duration,
    next_probe: Instant,
}

impl Breaker {
    /// Makes a breaker that lets calls pass.
    pub fn new() -> Self {
        Self {
            failures: 0,
            pause: FIRST_PAUSE,
            next_probe: Instant::now(),
        }
    }

    /// Lets a call pass or refuses it. A call that passes while the store fails is the probe, and the
    /// next one may follow after a pause.
    pub fn admit(&mut self, class: CallClass, now: Instant) -> Result<(), StoreError> {
        if self.failures < FAILURES_TO_OPEN || class == CallClass::Lease {
            return Ok(());
        }
        if now < self.next_probe {
            return Err(StoreError::CircuitOpen);
        }
        self.next_probe = now + self.pause;
        Ok(())
    }

    /// Notes an answered call.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.pause = FIRST_PAUSE;
    }

    /// Notes a failed call.
    pub fn fail(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let jitter: f64 = rand::random_range(0.5..1.0);
        self.next_probe = now + self.pause.mul_f64(jitter);
        self.pause = MAX_PAUSE.min(self.pause * 2);
    }
}
