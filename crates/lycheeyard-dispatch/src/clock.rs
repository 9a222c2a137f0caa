use lycheeyard_jobs::{BootTime, Now};
use lycheeyard_protocol::Timestamp;
use rustix::time::{ClockId, clock_gettime};

const MILLIS_PER_S: u64 = 1000;
const NANOS_PER_MS: u64 = 1_000_000;

/// The present on the clock that goes on while the machine is suspended.
#[must_use]
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    BootTime(seconds * MILLIS_PER_S + nanos / NANOS_PER_MS)
}

/// The present on both clocks.
#[must_use]
pub fn present() -> Now {
    Now {
        boot: boot_time(),
        wall: Timestamp::now(),
    }
}
