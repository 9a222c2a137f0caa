/// The estimate of one part of a worker's speed, as a natural logarithm: its mean and variance after the evidence, and its
/// variance before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    pub mean: f64,
    pub variance: f64,
    pub prior_variance: f64,
}

impl Scale {
    /// The part of the prior variance that the evidence has removed, from 0 to 1.
    pub fn learned(self) -> f64 {
        (1.0 - self.variance / self.prior_variance).clamp(0.0, 1.0)
    }

    /// What the evidence alone says, without the prior: the value and its variance. `None` if there is no evidence.
    pub fn evidence(self) -> Option<(f64, f64)> {
        let learned = self.learned();
        (learned > 0.0).then(|| (self.mean / learned, self.variance / learned))
    }

    /// The estimate, where workers like this one have the value `center`: what the evidence leaves open is filled from there.
    pub fn estimate(self, center: f64) -> f64 {
        self.mean + (1.0 - self.learned()) * center
    }
}

/// The probability that the true value behind the observation `value`, whose error has the given variance, is not 0. Before the
/// observation, it is not 0 with probability `differing`, and is then normally distributed around 0 with `prior_variance`.
pub(super) fn probability_of_difference(
    value: f64,
    variance: f64,
    prior_variance: f64,
    differing: f64,
) -> f64 {
    let wide = variance + prior_variance;
    let log_odds = (differing / (1.0 - differing)).ln()
        + 0.5 * (variance / wide).ln()
        + 0.5 * value * value * (1.0 / variance - 1.0 / wide);
    1.0 / (1.0 + (-log_odds).exp())
}
