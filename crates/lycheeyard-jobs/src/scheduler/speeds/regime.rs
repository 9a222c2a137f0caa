use strum::Display;

/// How the speeds of the workers of a deployment vary with time.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum Regime {
    /// Differences between workers last, apart from small disturbances.
    Steady,
    /// Workers are slow for seconds at a time.
    Fluctuating,
}

/// The variance of the passing part where speeds are steady: neighbours on a worker disturb a little.
const STEADY_VARIANCE: f64 = 0.02;
/// The variance of the passing part where speeds fluctuate: a worker of half the speed is 1.3 standard deviations away.
const FLUCTUATING_VARIANCE: f64 = 0.3;

impl Regime {
    /// The variance of the passing part.
    pub(super) fn passing_variance(self) -> f64 {
        match self {
            Self::Steady => STEADY_VARIANCE,
            Self::Fluctuating => FLUCTUATING_VARIANCE,
        }
    }
}
