use lycheeyard_protocol::QueueId;
use std::collections::BTreeMap;

/// So many runs of a queue must have been seen before its estimates are corrected.
const MIN_SAMPLES: u32 = 4;
/// How much a new run counts at least.
const MIN_WEIGHT: f64 = 0.05;
/// Keeps logarithms finite.
const MIN_RUN_MS: f64 = 1.0;

/// Corrects the estimates of run times by what the runs of each queue took.
///
/// Run times and the faults of estimates are taken as log-normal; the correction weighs an estimate against
/// the queue's usual run time by how far each has been off.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    queues: BTreeMap<QueueId, QueueTimes>,
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    samples: u32,
    /// The mean and the variance of the logarithm of run times.
    mean: f64,
    variance: f64,
    /// The mean of the square of the logarithm of estimate by run time.
    fault: f64,
}

impl RunTimeEstimator {
    /// Takes note of a run of a queue that took `took_ms` and had been estimated.
    pub fn record(&mut self, queue: &QueueId, estimate_ms: u64, took_ms: u64) {
        let times = self.queues.entry(queue.clone()).or_default();
        let estimate = ln(estimate_ms);
        let took = ln(took_ms);
        times.samples = times.samples.saturating_add(1);
        let weight = (1.0 / f64::from(times.samples)).max(MIN_WEIGHT);
        let off = took - times.mean;
        times.mean += weight * off;
        times.variance = (1.0 - weight) * (times.variance + weight * off * off);
        times.fault += weight * ((estimate - took).powi(2) - times.fault);
    }

    /// A better estimate of a run time, in milliseconds.
    #[must_use]
    pub fn corrected_ms(&self, queue: &QueueId, estimate_ms: u64) -> u64 {
        let Some(times) = self.queues.get(queue) else {
            return estimate_ms;
        };
        if times.samples < MIN_SAMPLES {
            return estimate_ms;
        }
        let share = times.variance / (times.variance + times.fault).max(f64::EPSILON);
        let corrected = share * ln(estimate_ms) + (1.0 - share) * times.mean;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are positive and far below the limit"
        )]
        let corrected = corrected.exp() as u64;
        corrected
    }
}

fn ln(millis: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times are far below the limit of exact floats"
    )]
    let millis = millis as f64;
    millis.max(MIN_RUN_MS).ln()
}
