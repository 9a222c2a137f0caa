use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(1);
/// So many lines are written a second,
const LINES_A_WINDOW: u32 = 600;
/// and so many of them may be ordinary ones.
const ORDINARY_LINES_A_WINDOW: u32 = 400;

/// How many lines may be written a second, and how many were left out.
#[derive(Debug, Default)]
pub struct LogBudget {
    window: Mutex<Window>,
    left_out: AtomicU64,
}

#[derive(Debug, Default)]
struct Window {
    ends_at: Option<Instant>,
    lines: u32,
}

impl LogBudget {
    /// Whether a line may be written now; one that may not is counted.
    pub fn admit(&self, is_important: bool, now: Instant) -> bool {
        let is_admitted = self.take(is_important, now);
        if !is_admitted {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// How many lines were left out so far.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    fn take(&self, is_important: bool, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.ends_at.is_none_or(|ends_at| ends_at <= now) {
            *window = Window {
                ends_at: Some(now + WINDOW),
                lines: 0,
            };
        }
        let limit = if is_important {
            LINES_A_WINDOW
        } else {
            ORDINARY_LINES_A_WINDOW
        };
        let is_admitted = window.lines < limit;
        window.lines += u32::from(is_admitted);
        is_admitted
    }
}
