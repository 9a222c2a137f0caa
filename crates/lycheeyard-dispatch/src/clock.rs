use lycheeyard_jobs::{BootTime, Now};
use lycheeyard_protocol::Timestamp;
use rustix::time::{ClockId, clock_gettime};

const MILLIS_PER_S: u64 = 1000;
const NANOS_PER_MS: u64 = 1_000_000;

/// Tells the present.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The present on the clock that goes on while the machine is suspended.
    fn boot(&self) -> BootTime;

    /// The present on the clock that people and other machines see.
    fn wall(&self) -> Timestamp;

    /// The present on both clocks.
    fn now(&self) -> Now {
        Now {
            boot: self.boot(),
            wall: self.wall(),
        }
    }
}

/// The clocks of this machine.
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
