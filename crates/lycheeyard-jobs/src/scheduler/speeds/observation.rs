use super::{Regime, estimates::Estimates, regime_odds::RegimeOdds};
use crate::BootTime;
use lycheeyard_protocol::WorkerId;
use std::collections::BTreeMap;

/// A member of a gang is not taken into account below this probability that it is the slowest one.
const MIN_PROBABILITY: f64 = 0.02;
/// Relates the spread of an extreme-value distribution to that of a normal one, for the probability to be the slowest.
const EXTREME_SCALE: f64 = 1.28;

/// What one run, or one run of a gang, says about the speed of its workers.
#[derive(Clone, Debug)]
pub(super) struct Observation {
    /// The workers, of which the slowest sets the pace.
    pub workers: Vec<WorkerId>,
    /// The observed speed, as a natural logarithm.
    pub value: f64,
    /// The variance of the observation.
    pub noise: f64,
    /// For how long the run had been in progress.
    pub seconds: f64,
}

impl Observation {
    /// Adds the observation to the estimates. If there are several workers, each gets a part of the weight: the probability
    /// that it is the slowest. An observation of one worker also says something about the regime.
    pub fn apply(
        &self,
        estimates: &mut BTreeMap<WorkerId, Estimates>,
        odds: &mut RegimeOdds,
        now: BootTime,
    ) {
        let probabilities = self.probabilities(estimates, odds.regime());
        for (worker, probability) in self.workers.iter().zip(probabilities) {
            if probability < MIN_PROBABILITY {
                continue;
            }
            let Some(estimates) = estimates.get_mut(worker) else {
                continue;
            };
            let noise = self.noise / probability;
            let densities = estimates
                .each_mut()
                .map(|filter| filter.observe(self.value, noise, self.seconds, now));
            if let ([_], [Some(steady), Some(fluctuating)]) = (self.workers.as_slice(), densities) {
                odds.add(steady, fluctuating);
            }
        }
    }

    /// The probability of each worker to be the slowest, from what is known of them.
    fn probabilities(&self, estimates: &BTreeMap<WorkerId, Estimates>, regime: Regime) -> Vec<f64> {
        let weights = self.workers.iter().map(|worker| {
            estimates.get(worker).map_or(0.0, |estimates| {
                let filter = estimates.of(regime);
                let spread = filter.total_variance().sqrt();
                (-EXTREME_SCALE * filter.mean() / spread.max(f64::EPSILON)).exp()
            })
        });
        let weights: Vec<f64> = weights.collect();
        let sum: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / sum).collect()
    }
}
