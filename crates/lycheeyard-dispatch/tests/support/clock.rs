use lycheeyard_dispatch::Clock;
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Timestamp;
use tokio::time::Instant;

const START_MS: u64 = 1_000_000;

/// A clock that follows the paused time of the Tokio runtime.
#[derive(Clone, Copy, Debug)]
pub struct TestClock {
    start: Instant,
}

impl Default for TestClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for TestClock {
    fn boot(&self) -> BootTime {
        let elapsed =
            u64::try_from(self.start.elapsed().as_millis()).expect("elapsed time fits u64");
        BootTime(START_MS + elapsed)
    }

    fn wall(&self) -> Timestamp {
        Timestamp(self.boot().0)
    }
}
