use super::CallClass;
use std::time::Duration;
use tokio::time::Instant;

const BURST_SECONDS: f64 = 2.0;
const MIN_BURST: f64 = 50.0;

/// The calls of one kind that an instance may make, refilled at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Budget {
    /// Makes a full budget of `rate` calls a second.
    pub fn new(rate: f64) -> Self {
        let burst = burst_of(rate);
        Self {
            rate,
            burst,
            tokens: burst,
            filled_at: Instant::now(),
        }
    }

    /// Changes the rate and keeps what is left.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst_of(rate);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes one call, or tells how long to wait before the next attempt.
    pub fn take(&mut self, class: CallClass, now: Instant) -> Option<Duration> {
        self.fill(now);
        let missing = 1.0 + self.burst * reserved_share(class) - self.tokens;
        if missing > 0.0 {
            return Some(Duration::from_secs_f64(missing / self.rate));
        }
        self.tokens -= 1.0;
        None
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.tokens = self
            .burst
            .min(self.tokens + elapsed.as_secs_f64() * self.rate);
    }
}

fn burst_of(rate: f64) -> f64 {
    MIN_BURST.max(rate * BURST_SECONDS)
}

/// The part of a full budget that a class leaves to the classes before it.
fn reserved_share(class: CallClass) -> f64 {
    match class {
        CallClass::Lease => 0.0,
        CallClass::Claim => 0.1,
        CallClass::Ticket => 0.2,
        CallClass::Job => 0.35,
        CallClass::Audit => 0.5,
    }
}
