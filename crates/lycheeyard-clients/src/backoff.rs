use std::time::Duration;
use tokio::time::sleep;

/// An exponential backoff: each delay is twice the last one, up to a maximum.
///
/// Each delay has jitter, so that many callers do not retry at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff with delays from `initial_delay` to `max_delay`.
    #[must_use]
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self {
            initial: initial_delay,
            max: max_delay,
            next: initial_delay,
        }
    }

    /// Returns the upper bound of the next delay; jitter may shorten it to half of that.
    #[must_use]
    pub fn next_delay(&self) -> Duration {
        self.next
    }

    /// Starts again from the initial delay.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }

    /// Sleeps for the next delay, with jitter, and doubles the one after it.
    pub async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.5..1.0);
        sleep(self.next.mul_f64(jitter)).await;
        self.next = self.max.min(self.next * 2);
    }
}
