use crate::BootTime;
use std::time::Duration;

/// Time constant of the exponential decay of past arrivals.
const TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Exponentially decayed rate at which urgent jobs request accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArrivalRate {
    /// The requested accelerators, decayed to `updated_at`.
    decayed_sum: f64,
    updated_at: BootTime,
}

impl ArrivalRate {
    /// Records a job that requests accelerators.
    pub fn record(&mut self, accelerators: u32, now: BootTime) {
        self.decayed_sum = self.decayed_sum_at(now) + f64::from(accelerators);
        self.updated_at = now;
    }

    /// The number of accelerators that urgent jobs are expected to request within `time`.
    pub fn expected_within(&self, time: Duration, now: BootTime) -> u32 {
        let expected = self.decayed_sum_at(now) * time.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is positive and far below `u32::MAX`"
        )]
        let expected = expected as u32;
        expected
    }

    fn decayed_sum_at(&self, now: BootTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.decayed_sum * (-elapsed).exp()
    }
}
