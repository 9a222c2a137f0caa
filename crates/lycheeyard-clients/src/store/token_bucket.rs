use super::CallClass;
use std::time::Duration;
use tokio::time::Instant;

/// The time in which a full bucket is refilled, unless its rate is so low that the minimum capacity applies.
const CAPACITY_S: f64 = 2.0;
/// The minimum number of calls in a full bucket.
const MIN_CAPACITY: f64 = 50.0;

/// A token bucket that limits the store calls of one kind that this instance makes.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket for `rate_per_s` calls a second.
    pub fn new(rate_per_s: f64) -> Self {
        let capacity = capacity_for_rate(rate_per_s);
        Self {
            rate_per_s,
            capacity,
            tokens: capacity,
            refilled_at: Instant::now(),
        }
    }

    /// Changes the rate and keeps the tokens that are left, up to the new capacity.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Instant) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity_for_rate(rate_per_s);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes the token for one call. If the class has none left, returns how long to wait before the next attempt.
    pub fn try_take(&mut self, class: CallClass, now: Instant) -> Option<Duration> {
        self.refill(now);
        let missing_tokens = 1.0 + self.capacity * reserved_share(class) - self.tokens;
        if missing_tokens > 0.0 {
            return Some(Duration::from_secs_f64(missing_tokens / self.rate_per_s));
        }
        self.tokens -= 1.0;
        None
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = self
            .capacity
            .min(self.tokens + elapsed.as_secs_f64() * self.rate_per_s);
    }
}

fn capacity_for_rate(rate_per_s: f64) -> f64 {
    MIN_CAPACITY.max(rate_per_s * CAPACITY_S)
}

/// The share of a full bucket that a class leaves to the classes with a higher priority.
fn reserved_share(class: CallClass) -> f64 {
    match class {
        CallClass::Lease => 0.0,
        CallClass::Claim => 0.1,
        CallClass::Ticket => 0.2,
        CallClass::Job => 0.35,
        CallClass::Audit => 0.5,
    }
}
