use super::{CallClass, StoreError};
use std::time::Duration;
use tokio::time::Instant;

const FAILURES_TO_OPEN: u32 = 5;
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(200);
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// A circuit breaker for the store: after several failures in a row it admits only one probe call per delay.
///
/// Lease calls are always admitted: they are few, and work stops when a lease cannot be renewed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CircuitBreaker {
    consecutive_failures: u32,
    probe_delay: Duration,
    next_probe: Instant,
}

impl CircuitBreaker {
    /// Creates a closed breaker, which admits all calls.
    pub fn new() -> Self {
        Self {
            consecutive_failures: 0,
            probe_delay: INITIAL_PROBE_DELAY,
            next_probe: Instant::now(),
        }
    }

    /// Admits or rejects a call. A call admitted while the breaker is open is the probe; the next probe
    /// may follow after the probe delay.
    pub fn admit(&mut self, class: CallClass, now: Instant) -> Result<(), StoreError> {
        if self.consecutive_failures < FAILURES_TO_OPEN || class == CallClass::Lease {
            return Ok(());
        }
        if now < self.next_probe {
            return Err(StoreError::CircuitOpen);
        }
        self.next_probe = now + self.probe_delay;
        Ok(())
    }

    /// Closes the breaker.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.probe_delay = INITIAL_PROBE_DELAY;
    }

    /// Counts a failure. After enough of them in a row, opens the breaker or delays its next probe.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < FAILURES_TO_OPEN {
            return;
        }
        let jitter: f64 = rand::random_range(0.5..1.0);
        self.next_probe = now + self.probe_delay.mul_f64(jitter);
        self.probe_delay = MAX_PROBE_DELAY.min(self.probe_delay * 2);
    }
}
