use hdrhistogram::Histogram;
use std::time::Duration;

const MAX_US: u64 = 100_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The distribution of completion times.
#[derive(Clone, Debug)]
pub struct CompletionTimes {
    times: Histogram<u64>,
}

impl Default for CompletionTimes {
    fn default() -> Self {
        let times = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS);
        Self {
            times: times.unwrap_or_else(|err| unreachable!("the bounds are valid: {err}")),
        }
    }
}

impl CompletionTimes {
    /// Records a completion time.
    pub fn record(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
        self.times.saturating_record(time_us);
    }

    /// The completion time at a percentile, in milliseconds.
    #[must_use]
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        let time_us = self.times.value_at_percentile(percent);
        Duration::from_micros(time_us).as_secs_f64() * 1000.0
    }

    /// The number of completions.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.times.len()
    }
}
