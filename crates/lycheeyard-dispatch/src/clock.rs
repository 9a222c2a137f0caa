use crate::pass_part::PassPart;
use lycheeyard_jobs::{BootTime, Now};
use lycheeyard_protocol::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

const MILLIS_PER_S: u64 = 1000;
const NANOS_PER_MS: u64 = 1_000_000;

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time that keeps counting while the machine is suspended, in milliseconds.
    fn boot(&self) -> BootTime;

    /// Returns the wall-clock time.
    fn wall(&self) -> Timestamp;

    /// Returns the time on both clocks.
    fn now(&self) -> Now {
        Now {
            boot: self.boot(),
            wall: self.wall(),
        }
    }

    /// Runs a part of a pass of the scheduling loop, and returns its result and how long it took.
    fn measure<T>(&self, _part: PassPart, run: impl FnOnce() -> T) -> (T, Duration) {
        let begun = Instant::now();
        let result = run();
        (result, begun.elapsed())
    }
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn boot(&self) -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        BootTime(seconds * MILLIS_PER_S + nanos / NANOS_PER_MS)
    }

    fn wall(&self) -> Timestamp {
        Timestamp::now()
    }
}
