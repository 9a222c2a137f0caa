use std::time::Duration;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_millis(50);
const WINDOWS_PER_S: usize = 20;

/// The number of exact reads that a store answers in each window; it refuses the others.
#[derive(Debug, Default)]
pub struct ReadLimit {
    per_window: Option<usize>,
    window_end: Option<Instant>,
    used: usize,
}

impl ReadLimit {
    /// Sets the number of reads a second.
    pub fn set(&mut self, per_s: usize) {
        self.per_window = Some(per_s / WINDOWS_PER_S);
    }

    /// Whether one more read is allowed now.
    pub fn allows_read(&mut self) -> bool {
        let now = Instant::now();
        if self.window_end.is_none_or(|end| end <= now) {
            self.window_end = Some(now + WINDOW);
            self.used = 0;
        }
        self.used += 1;
        self.per_window.is_none_or(|limit| self.used <= limit)
    }
}
