use lycheeyard_protocol::QueueId;
use std::collections::BTreeMap;

/// The estimates of a queue are corrected only after this many of its runs have been recorded.
const MIN_SAMPLES: u32 = 4;
/// Lower bound for the weight of a new run in the running means.
const MIN_WEIGHT: f64 = 0.05;
/// Lower bound for run times, so that their logarithms are finite.
const MIN_RUN_MS: f64 = 1.0;

/// Corrects estimated run times from the recorded run times of each queue.
///
/// Run times and the errors of estimates are assumed to be log-normal. A corrected value is the weighted mean of the
/// estimate and the queue's mean run time on a logarithmic scale. The weights are the inverses of the mean squared
/// errors, so the one that has been more accurate counts more.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    queues: BTreeMap<QueueId, QueueTimes>,
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    samples: u32,
    /// The mean of the logarithm of run times.
    mean: f64,
    /// The variance of the logarithm of run times.
    variance: f64,
    /// The mean of the squared logarithm of the ratio of estimate to run time.
    squared_error: f64,
}

impl RunTimeEstimator {
    /// Records that a run of a queue with an estimate of `estimate_ms` took `took_ms`.
    pub fn record(&mut self, queue: &QueueId, estimate_ms: u64, took_ms: u64) {
        let times = self.queues.entry(queue.clone()).or_default();
        let estimate = ln(estimate_ms);
        let took = ln(took_ms);
        times.samples = times.samples.saturating_add(1);
        let weight = (1.0 / f64::from(times.samples)).max(MIN_WEIGHT);
        let deviation = took - times.mean;
        times.mean += weight * deviation;
        times.variance = (1.0 - weight) * (times.variance + weight * deviation * deviation);
        times.squared_error += weight * ((estimate - took).powi(2) - times.squared_error);
    }

    /// The corrected estimate of a run time, in milliseconds.
    ///
    /// Returns `estimate_ms` itself until enough runs of the queue have been recorded.
    #[must_use]
    pub fn corrected_ms(&self, queue: &QueueId, estimate_ms: u64) -> u64 {
        let Some(times) = self.queues.get(queue) else {
            return estimate_ms;
        };
        if times.samples < MIN_SAMPLES {
            return estimate_ms;
        }
        let estimate_weight =
            times.variance / (times.variance + times.squared_error).max(f64::EPSILON);
        let corrected = estimate_weight * ln(estimate_ms) + (1.0 - estimate_weight) * times.mean;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are positive and far below `u64::MAX`"
        )]
        let corrected = corrected.exp() as u64;
        corrected
    }
}

fn ln(millis: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times are far below 2^53, up to which integers are exact in `f64`"
    )]
    let millis = millis as f64;
    millis.max(MIN_RUN_MS).ln()
}
