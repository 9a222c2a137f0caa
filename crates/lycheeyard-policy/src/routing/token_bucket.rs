use std::time::Duration;

/// A token bucket rate limit with a burst of one second's worth of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    per_second: u32,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32, now: Duration) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            filled_at: now,
        }
    }

    /// Changes the rate; the tokens in the bucket are kept, up to the new limit.
    pub fn set_rate(&mut self, per_second: u32, now: Duration) {
        self.fill(now);
        self.per_second = per_second;
        self.tokens = self.tokens.min(f64::from(per_second));
    }

    /// Takes the token for one request.
    ///
    /// # Errors
    /// Returns the time until the next token is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(Duration::from_secs_f64(
            missing / f64::from(self.per_second.max(1)),
        ))
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        let limit = f64::from(self.per_second);
        self.tokens = (self.tokens + elapsed * limit).min(limit);
        self.filled_at = self.filled_at.max(now);
    }
}
