use std::time::Duration;
use tokio::time::Instant;

/// The longest pause after a piece of work. A suspension of the process during the work counts as part of it; the limit is
/// less than half of the 2.7 s in which an urgent job has to begin.
const MAX_PAUSE: Duration = Duration::from_millis(1300);

/// Limits the share of time that repeated work takes, however slow the processor is.
///
/// After each piece of work the next one waits for a multiple of the time that it took, but at most for 1.3 s.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    pause_factor: u32,
    next_at: Instant,
}

impl Pacer {
    /// Creates a pacer that is open. A pause takes `pause_factor` times as long as the work before it, so that the
    /// work takes at most one part in `pause_factor + 1` of the time, unless the pause would be too long.
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
        let pause = elapsed.saturating_mul(self.pause_factor);
        self.next_at = Instant::now() + pause.min(MAX_PAUSE);
    }
}
