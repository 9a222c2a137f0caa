use super::{Regime, scale::Scale};
use crate::BootTime;

/// The variance of the lasting part among workers that differ. A worker of half the speed is 1.7 standard deviations away.
pub(super) const LASTING_VARIANCE: f64 = 0.16;
/// The passing part falls to 1/e in this many seconds, and to half in 3.5 s, so that a slowness that a run showed still counts a few
/// seconds after the run has ended.
const PASSING_S: f64 = 5.0;
/// The lasting part falls to 1/e in this many seconds: machines are replaced and repaired within hours.
const LASTING_S: f64 = 3600.0;
/// The share of observations that say nothing about the worker, such as runs that take several times as long, and the variance
/// of these.
const CONTAMINATION: f64 = 0.05;
const CONTAMINATION_VARIANCE: f64 = 4.0;
/// The largest logarithm of a plausible observation: a factor of 1,000.
const MAX_OBSERVATION: f64 = 6.9;
/// The part of the evidence that is kept when a worker starts again under its id.
const KEPT_AT_RESTART: f64 = 0.9;

/// The estimate of one worker's speed on two time scales, as natural logarithms: a Kalman filter whose states are the lasting
/// and the passing part. Observations that are close in time share the passing part, so that they say little about the
/// lasting one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedFilter {
    lasting: f64,
    passing: f64,
    lasting_variance: f64,
    passing_variance: f64,
    covariance: f64,
    /// The variance of the passing part without evidence.
    passing_prior: f64,
    updated_at: BootTime,
}

impl SpeedFilter {
    /// Creates the estimate of a worker of which nothing is known.
    #[must_use]
    pub fn new(regime: Regime, now: BootTime) -> Self {
        let passing_prior = regime.passing_variance();
        Self {
            lasting: 0.0,
            passing: 0.0,
            lasting_variance: LASTING_VARIANCE,
            passing_variance: passing_prior,
            covariance: 0.0,
            passing_prior,
            updated_at: now,
        }
    }

    /// Creates an estimate from a stored lasting part; `None` if the values are out of range.
    pub(super) fn restore(regime: Regime, mean: f64, variance: f64, now: BootTime) -> Option<Self> {
        let is_valid =
            mean.abs() <= MAX_OBSERVATION && variance > 0.0 && variance <= LASTING_VARIANCE;
        is_valid.then(|| Self {
            lasting: mean,
            lasting_variance: variance,
            ..Self::new(regime, now)
        })
    }

    /// Adds the observation that the worker had the speed `value`, a natural logarithm, with a variance of `noise`, on average
    /// over the last `seconds`.
    ///
    /// Returns the logarithm of the probability density that the observation had; `None`, and changes nothing, if a value is not
    /// plausible.
    pub fn observe(&mut self, value: f64, noise: f64, seconds: f64, now: BootTime) -> Option<f64> {
        let is_valid =
            value.abs() <= MAX_OBSERVATION && noise > 0.0 && noise.is_finite() && seconds >= 0.0;
        if !is_valid {
            return None;
        }
        self.advance_to(now);
        // The passing part was another one earlier in the run.
        let share = passing_share(seconds);
        let noise = noise + self.passing_prior * share * (1.0 - share);
        let difference = value - self.lasting - share * self.passing;
        let lasting = self.lasting_variance + share * self.covariance;
        let passing = share * self.passing_variance + self.covariance;
        let spread = lasting + share * passing + noise;
        let (density, credibility) = credibility(difference, spread);
        let spread = lasting + share * passing + noise / credibility;
        self.lasting += lasting / spread * difference;
        self.passing += passing / spread * difference;
        self.lasting_variance -= lasting * lasting / spread;
        self.passing_variance -= passing * passing / spread;
        self.covariance -= lasting * passing / spread;
        Some(density.ln())
    }

    /// Lets time pass: the passing part fades, and both become less certain.
    pub fn advance_to(&mut self, now: BootTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let passing = (-elapsed / PASSING_S).exp();
        let lasting = (-elapsed / LASTING_S).exp();
        self.passing *= passing;
        self.lasting *= lasting;
        self.covariance *= passing * lasting;
        self.passing_variance = fade(self.passing_variance, self.passing_prior, passing);
        self.lasting_variance = fade(self.lasting_variance, LASTING_VARIANCE, lasting);
    }

    /// Notes that the worker has started again: most often on the same machine.
    pub(super) fn restart(&mut self, now: BootTime) {
        let variance = fade(
            self.lasting_variance,
            LASTING_VARIANCE,
            KEPT_AT_RESTART.sqrt(),
        );
        *self = Self {
            lasting: self.lasting * KEPT_AT_RESTART,
            lasting_variance: variance,
            passing: 0.0,
            passing_variance: self.passing_prior,
            covariance: 0.0,
            updated_at: now,
            passing_prior: self.passing_prior,
        };
    }

    pub(super) fn lasting(&self) -> Scale {
        Scale {
            mean: self.lasting,
            variance: self.lasting_variance,
            prior_variance: LASTING_VARIANCE,
        }
    }

    pub(super) fn passing(&self) -> Scale {
        Scale {
            mean: self.passing,
            variance: self.passing_variance,
            prior_variance: self.passing_prior,
        }
    }

    /// The sum of both parts.
    pub(super) fn total(&self) -> Scale {
        Scale {
            mean: self.mean(),
            variance: self.total_variance(),
            prior_variance: LASTING_VARIANCE + self.passing_prior,
        }
    }

    /// The variance of the sum of both parts.
    pub(super) fn total_variance(&self) -> f64 {
        self.lasting_variance + 2.0 * self.covariance + self.passing_variance
    }

    /// The mean of the sum of both parts, as a natural logarithm.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.lasting + self.passing
    }

    /// The mean of the lasting part, as a natural logarithm.
    #[must_use]
    pub fn lasting_mean(&self) -> f64 {
        self.lasting
    }
}

/// A variance after a deviation was multiplied by `factor`, towards the variance without evidence.
fn fade(variance: f64, prior: f64, factor: f64) -> f64 {
    let kept = factor * factor;
    kept * variance + (1.0 - kept) * prior
}

/// How much of the passing part is in force on average during the `run_s` seconds from now on.
pub(super) fn passing_share(run_s: f64) -> f64 {
    let ratio = (run_s / PASSING_S).max(f64::EPSILON);
    (1.0 - (-ratio).exp()) / ratio
}

/// The probability density of an observation that differs by this much, and the probability that it says something about the
/// worker.
fn credibility(difference: f64, spread: f64) -> (f64, f64) {
    let normal =
        |variance: f64| (-difference * difference / (2.0 * variance)).exp() / variance.sqrt();
    let usual = (1.0 - CONTAMINATION) * normal(spread);
    let other = CONTAMINATION * normal(spread + CONTAMINATION_VARIANCE);
    let density = usual + other;
    (density, (usual / density).max(f64::EPSILON))
}
