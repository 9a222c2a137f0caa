use lycheeyard_dispatch::{Clock, PassPart};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Timestamp;
use std::{
    collections::BTreeMap,
    fmt,
    future::Future,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Waker},
    time::Duration,
};
use tokio::time::{Instant, advance};

const START_MS: u64 = 1_000_000;

/// A clock that follows the paused time of the Tokio runtime, on a processor whose speed can be set.
#[derive(Clone, Debug)]
pub struct TestClock {
    start: Instant,
    /// How long each part of a pass of the scheduling loop takes; no time if it is missing.
    costs: Arc<Mutex<BTreeMap<PassPart, Duration>>>,
    /// The time that the clock shows while its instance is suspended.
    suspended_at: Arc<Mutex<Option<BootTime>>>,
    /// The next suspension within a pass, if there is one.
    suspension: Arc<Mutex<Option<Suspension>>>,
    /// By how many milliseconds the wall clock of the instance is ahead of the true time; negative if it is behind.
    wall_offset_ms: Arc<Mutex<i64>>,
}

/// A suspension at the end of the first part of its kind for which the condition holds.
struct Suspension {
    part: PassPart,
    time: Duration,
    is_due: Box<dyn Fn() -> bool + Send>,
}

impl fmt::Debug for Suspension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} after {:?}", self.time, self.part)
    }
}

impl TestClock {
    /// Returns a clock of another instance.
    pub fn for_instance(&self) -> Self {
        Self {
            suspended_at: Arc::default(),
            wall_offset_ms: Arc::default(),
            ..self.clone()
        }
    }

    /// Sets by how many milliseconds the wall clock of the instance is ahead of the true time.
    pub fn set_wall_offset(&self, offset_ms: i64) {
        *self.wall_offset_ms.lock().expect("lock is not poisoned") = offset_ms;
    }

    /// Stops the clock, as far as its instance can see, or lets it show the true time again.
    pub fn suspend(&self, suspended: bool) {
        let shown = suspended.then(|| self.boot());
        *self.suspended_at.lock().expect("lock is not poisoned") = shown;
    }

    /// Sets how long a part of a pass takes from now on.
    pub fn set_cost(&self, part: PassPart, cost: Duration) {
        let mut costs = self.costs.lock().expect("lock is not poisoned");
        costs.insert(part, cost);
    }

    /// Suspends the process once, at the end of the first part `part` of a pass for which `is_due` returns true.
    pub fn suspend_once(
        &self,
        part: PassPart,
        time: Duration,
        is_due: impl Fn() -> bool + Send + 'static,
    ) {
        let is_due = Box::new(is_due);
        *self.suspension() = Some(Suspension { part, time, is_due });
    }

    /// Whether the suspension within a pass has taken place.
    pub fn was_suspended(&self) -> bool {
        self.suspension().is_none()
    }

    /// Takes the time of the suspension that is due now, at the end of a part.
    fn take_suspension(&self, part: PassPart) -> Duration {
        let due = self
            .suspension()
            .take_if(|suspension| suspension.part == part && (suspension.is_due)());
        due.map(|suspension| suspension.time).unwrap_or_default()
    }

    fn suspension(&self) -> MutexGuard<'_, Option<Suspension>> {
        self.suspension.lock().expect("lock is not poisoned")
    }
}

impl Default for TestClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            costs: Arc::default(),
            suspended_at: Arc::default(),
            suspension: Arc::default(),
            wall_offset_ms: Arc::default(),
        }
    }
}

impl Clock for TestClock {
    fn boot(&self) -> BootTime {
        if let Some(shown) = *self.suspended_at.lock().expect("lock is not poisoned") {
            return shown;
        }
        let elapsed =
            u64::try_from(self.start.elapsed().as_millis()).expect("elapsed time fits u64");
        BootTime(START_MS + elapsed)
    }

    fn wall(&self) -> Timestamp {
        let offset_ms = *self.wall_offset_ms.lock().expect("lock is not poisoned");
        Timestamp(self.boot().0.saturating_add_signed(offset_ms))
    }

    fn measure<T>(&self, part: PassPart, run: impl FnOnce() -> T) -> (T, Duration) {
        let result = run();
        let costs = self.costs.lock().expect("lock is not poisoned");
        let cost = costs.get(&part).copied().unwrap_or_default();
        drop(costs);
        let cost = cost + self.take_suspension(part);
        block_for(cost);
        (result, cost)
    }
}

/// Moves the paused time on without letting another task run, as work on the only thread does.
pub fn block_for(time: Duration) {
    if time.is_zero() {
        return;
    }
    let before = Instant::now();
    // The first poll moves the time on; the future then only yields to other tasks.
    let _ = pin!(advance(time)).poll(&mut Context::from_waker(Waker::noop()));
    assert_eq!(before.elapsed(), time);
}
