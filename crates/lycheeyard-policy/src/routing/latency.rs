use std::time::Duration;

/// The response time assumed before the first response.
const INITIAL_LATENCY: Duration = Duration::from_millis(1);
const SMOOTHING_FACTOR: u32 = 16;
const DEVIATION_FACTOR: u32 = 3;

/// The smoothed response time of a service and its smoothed deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    smoothed: Option<(Duration, Duration)>,
}

impl Latency {
    pub fn record(&mut self, sample: Duration) {
        let next = match self.smoothed {
            None => (sample, Duration::ZERO),
            Some((mean, deviation)) => (
                smooth(mean, sample),
                smooth(deviation, sample.abs_diff(mean)),
            ),
        };
        self.smoothed = Some(next);
    }

    pub fn mean(&self) -> Duration {
        self.smoothed.map_or(INITIAL_LATENCY, |(mean, _)| mean)
    }

    /// The time that must remain until the deadline when a request starts, so that most requests meet their deadline.
    pub fn required_time(&self) -> Duration {
        let deviation = self
            .smoothed
            .map_or(Duration::ZERO, |(_, deviation)| deviation);
        (self.mean() + deviation * DEVIATION_FACTOR).max(self.mean() * 5 / 4)
    }
}

fn smooth(current: Duration, sample: Duration) -> Duration {
    (current * (SMOOTHING_FACTOR - 1) + sample) / SMOOTHING_FACTOR
}
