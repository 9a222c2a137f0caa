use super::WorkerSpeed;
use strum::Display;

/// How the speed of a worker compares with the usual one.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SpeedClass {
    /// It is not known to be slow.
    #[default]
    Usual,
    /// It is slow for some seconds.
    SlowForNow,
    /// It is slow, and has been for longer than a passing slowness lasts.
    Slow,
}

/// A worker is classified as slow below this natural logarithm of its speed: 78% of the usual one.
const SLOW: f64 = -0.25;
/// A worker that is classified as slow has recovered above this: 86%.
const RECOVERED: f64 = -0.15;

impl SpeedClass {
    /// The class of a worker that has had the class `former`.
    pub(super) fn of(speed: WorkerSpeed, former: Self) -> Self {
        let limit = |class| if former == class { RECOVERED } else { SLOW };
        if speed.lasting < limit(Self::Slow) {
            Self::Slow
        } else if speed.lasting + speed.passing < limit(Self::SlowForNow) {
            Self::SlowForNow
        } else {
            Self::Usual
        }
    }
}
