use crate::BootTime;
use std::time::Duration;

/// Arrivals fade out of the rate over about this time.
const MEMORY: Duration = Duration::from_secs(8);

/// How many accelerators urgent jobs have asked for lately, a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    level: f64,
    at: BootTime,
}

impl Arrivals {
    /// Takes note of a job that asks for accelerators.
    pub fn record(&mut self, accelerators: u32, now: BootTime) {
        self.level = self.level_at(now) + f64::from(accelerators);
        self.at = now;
    }

    /// The accelerators that are expected to be asked for within `time`.
    pub fn expected_within(&self, time: Duration, now: BootTime) -> u32 {
        let expected = self.level_at(now) * time.as_secs_f64() / MEMORY.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number far below the limit"
        )]
        let expected = expected as u32;
        expected
    }

    fn level_at(&self, now: BootTime) -> f64 {
        let faded = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.level * (-faded).exp()
    }
}
