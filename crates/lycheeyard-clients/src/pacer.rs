use std::time::Duration;
use tokio::time::Instant;

/// Limits the share of time that repeated work takes, however slow the processor is.
///
/// After each piece of work the next one waits for a multiple of the time that it took.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    pause_factor: u32,
    next_at: Instant,
}

impl Pacer {
    /// Creates a pacer that is open. A pause takes `pause_factor` times as long as the work before it, so that the
    /// work takes at most one part in `pause_factor + 1` of the time.
    #[must_use]
    pub fn new(pause_factor: u32) -> Self {
        Self {
            pause_factor,
            next_at: Instant::now(),
        }
    }

    /// Whether the next piece of work may begin.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.next_at <= Instant::now()
    }

    /// When the next piece of work may begin.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Begins the pause after a piece of work that took `elapsed` and has just ended.
    pub fn record(&mut self, elapsed: Duration) {
        self.next_at = Instant::now() + elapsed.saturating_mul(self.pause_factor);
    }
}
