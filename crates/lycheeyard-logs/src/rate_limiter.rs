use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of lines in a window.
const LINES_PER_WINDOW: u32 = 600;
/// The maximum number of ordinary lines in a window; the rest is reserved for important ones.
const ORDINARY_LINES_PER_WINDOW: u32 = 400;

/// Limits the number of log lines per second, and counts the lines that it drops.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    window: Mutex<Window>,
    dropped: AtomicU64,
}

#[derive(Debug, Default)]
struct Window {
    ends_at: Option<Instant>,
    lines: u32,
}

impl LogRateLimiter {
    /// Returns whether a line may be written at `now`; counts it as dropped if not.
    pub fn admit(&self, is_important: bool, now: Instant) -> bool {
        let is_admitted = self.try_take(is_important, now);
        if !is_admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn try_take(&self, is_important: bool, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.ends_at.is_none_or(|ends_at| ends_at <= now) {
            *window = Window {
                ends_at: Some(now + WINDOW),
                lines: 0,
            };
        }
        let limit = if is_important {
            LINES_PER_WINDOW
        } else {
            ORDINARY_LINES_PER_WINDOW
        };
        let is_admitted = window.lines < limit;
        window.lines += u32::from(is_admitted);
        is_admitted
    }
}
