use std::time::Duration;
use tokio::time::sleep;

/// Pauses between tries that double up to a longest one, each with jitter, so that many callers come apart.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Makes pauses from `first` to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The next pause at its longest.
    #[must_use]
    pub fn next_delay(&self) -> Duration {
        self.next
    }

    /// Goes back to the first pause.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.5..1.0);
        sleep(self.next.mul_f64(jitter)).await;
        self.next = self.longest.min(self.next * 2);
    }
}
