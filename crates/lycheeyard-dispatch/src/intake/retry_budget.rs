use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep, timeout_at},
};

/// How many calls of an instance are retried at a time after the store has refused them as beyond its rate.
const MAX_RETRYING: usize = 4;
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Limits the retries of calls that a store refuses because it gets more calls than it serves.
///
/// A few calls of an instance are retried at a time; the others wait for their turn without calling the store. The pause before a retry
/// is common to all: it doubles with each refusal of a retry and halves with each turn.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    turns: Arc<Semaphore>,
    pause: Arc<Mutex<Duration>>,
}

/// The turn of one call to be retried; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct Turn {
    _permit: OwnedSemaphorePermit,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            turns: Arc::new(Semaphore::new(MAX_RETRYING)),
            pause: Arc::new(Mutex::new(MIN_PAUSE)),
        }
    }
}

impl RetryBudget {
    /// Waits for a turn until `deadline`; `None` if there is none by then.
    pub async fn take_turn(&self, deadline: Instant) -> Option<Turn> {
        let permit = Arc::clone(&self.turns).acquire_owned();
        let permit = timeout_at(deadline, permit).await.ok()?.ok()?;
        self.change_pause(|pause| pause / 2);
        Some(Turn { _permit: permit })
    }

    /// Records that a retry was refused again.
    pub fn record_refusal(&self) {
        self.change_pause(|pause| pause * 2);
    }

    /// Waits for the common pause, or for half of the time left if that is shorter, so that no call is given up while there is time for
    /// another attempt. Returns false without waiting if there is none.
    pub async fn pause(&self, deadline: Instant) -> bool {
        let pause = *self.pause.lock().unwrap_or_else(PoisonError::into_inner);
        let left = deadline.saturating_duration_since(Instant::now());
        let pause = pause.min(left / 2);
        if pause < MIN_PAUSE {
            return false;
        }
        sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        true
    }

    fn change_pause(&self, change: impl FnOnce(Duration) -> Duration) {
        let mut pause = self.pause.lock().unwrap_or_else(PoisonError::into_inner);
        *pause = change(*pause).clamp(MIN_PAUSE, MAX_PAUSE);
    }
}
