use super::record::QueuePaceRecord;

/// The variances that are assumed before anything was observed, among all runs and among the tasks of one step.
const INITIAL_VARIANCE: f64 = 0.6;
const INITIAL_WITHIN: f64 = 0.15;
/// Progress is reported in whole percent, so that run times of tasks are not known better than this variance.
const MIN_VARIANCE: f64 = 0.003;
/// The initial values count as much as this many steps.
const INITIAL_STEPS: f64 = 3.0;
/// The number of latest steps that count.
const MAX_STEPS: f64 = 60.0;
/// Deviations are cut off at this many standard deviations, so that long runs do not widen the variances.
const MAX_DEVIATIONS: f64 = 2.5;
/// The squared error of a median of normal values, relative to that of their mean.
const MEDIAN_ERROR: f64 = 1.57;
/// A median of fewer values is not used to learn the variance among them.
const MIN_PEERS: usize = 3;
const MILLI: f64 = 1000.0;

/// How the run times of a queue relate to their estimates, each corrected for the speed of its worker, in natural logarithms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuePace {
    /// The mean over steps.
    mean: f64,
    /// The variance over all runs.
    variance: f64,
    /// The variance among the tasks of one step.
    within: f64,
    /// How many steps were observed, up to [`MAX_STEPS`].
    steps: f64,
}

/// What the run time of a task is expected to be relative to its estimate, with the variance of a single task around it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedPace {
    pub mean: f64,
    pub variance: f64,
}

impl Default for QueuePace {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: INITIAL_VARIANCE,
            within: INITIAL_WITHIN,
            steps: 0.0,
        }
    }
}

impl QueuePace {
    /// What is expected of a task, given the paces of other tasks of its step, whose common error has the variance
    /// `peer_error`.
    pub(super) fn expected(&self, peers: &[f64], peer_error: f64) -> ExpectedPace {
        // Until steps were observed, the submitted estimates may all be off by the same factor.
        let mean_error = (self.variance + INITIAL_VARIANCE) / (self.steps + 1.0);
        let between = (self.variance - self.within).max(MIN_VARIANCE) + mean_error;
        let Some(median) = median(peers) else {
            return ExpectedPace {
                mean: self.mean,
                variance: between + self.within,
            };
        };
        #[expect(clippy::cast_precision_loss, reason = "steps have few tasks")]
        let error = peer_error + MEDIAN_ERROR * self.within / peers.len() as f64;
        let step_variance = 1.0 / (1.0 / between + 1.0 / error);
        ExpectedPace {
            mean: step_variance * (self.mean / between + median / error),
            variance: step_variance + self.within,
        }
    }

    /// Adds the pace of one of the `tasks` tasks of a step.
    pub fn record(&mut self, pace: f64, peers: &[f64], tasks: u32) {
        if !pace.is_finite() {
            return;
        }
        let share = 1.0 / f64::from(tasks.max(1));
        self.steps = (self.steps + share).min(MAX_STEPS);
        let weight = share / (self.steps + INITIAL_STEPS);
        let limit = MAX_DEVIATIONS * self.variance.sqrt();
        let deviation = (pace - self.mean).clamp(-limit, limit);
        self.mean += share / self.steps * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
        if peers.len() >= MIN_PEERS
            && let Some(median) = median(peers)
        {
            let limit = MAX_DEVIATIONS * self.within.sqrt();
            let deviation = (pace - median).clamp(-limit, limit);
            self.within += weight * (deviation * deviation - self.within);
        }
        self.within = self.within.max(MIN_VARIANCE);
        self.variance = self.variance.max(self.within + MIN_VARIANCE);
    }

    /// The values to store.
    pub fn to_record(self) -> QueuePaceRecord {
        QueuePaceRecord {
            mean_milli: thousandths(self.mean),
            variance_milli: thousandths(self.variance),
            within_milli: thousandths(self.within),
            steps_milli: thousandths(self.steps),
        }
    }

    /// Restores stored values; `None` if they are out of range.
    pub fn from_record(record: QueuePaceRecord) -> Option<Self> {
        let pace = Self {
            mean: from_thousandths(record.mean_milli)?,
            variance: from_thousandths(record.variance_milli)?,
            within: from_thousandths(record.within_milli)?,
            steps: from_thousandths(record.steps_milli)?,
        };
        let is_valid = pace.within >= MIN_VARIANCE
            && pace.variance >= pace.within
            && (0.0..=MAX_STEPS).contains(&pace.steps);
        is_valid.then_some(pace)
    }
}

fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => None,
        count if count.is_multiple_of(2) => Some(f64::midpoint(sorted[middle - 1], sorted[middle])),
        _ => Some(sorted[middle]),
    }
}

/// The largest stored value, in thousandths.
const MAX_STORED: i64 = 100_000;

/// A value in thousandths, as it is stored.
pub(super) fn thousandths(value: f64) -> i64 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "stored values are far below 2^53"
    )]
    let stored = (value * MILLI).round() as i64;
    stored
}

/// A stored value; `None` if it is not plausible.
pub(super) fn from_thousandths(stored: i64) -> Option<f64> {
    #[expect(clippy::cast_precision_loss, reason = "the value is far below 2^53")]
    let value = stored as f64 / MILLI;
    (-MAX_STORED..=MAX_STORED)
        .contains(&stored)
        .then_some(value)
}
