use super::{Regime, filter::SpeedFilter};
use crate::BootTime;

/// The estimates of one worker under each regime.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimates {
    steady: SpeedFilter,
    fluctuating: SpeedFilter,
}

impl Estimates {
    pub fn new(now: BootTime) -> Self {
        Self {
            steady: SpeedFilter::new(Regime::Steady, now),
            fluctuating: SpeedFilter::new(Regime::Fluctuating, now),
        }
    }

    /// Creates estimates from a stored lasting part; `None` if the values are out of range.
    pub fn restore(mean: f64, variance: f64, now: BootTime) -> Option<Self> {
        Some(Self {
            steady: SpeedFilter::restore(Regime::Steady, mean, variance, now)?,
            fluctuating: SpeedFilter::restore(Regime::Fluctuating, mean, variance, now)?,
        })
    }

    pub fn of(&self, regime: Regime) -> &SpeedFilter {
        match regime {
            Regime::Steady => &self.steady,
            Regime::Fluctuating => &self.fluctuating,
        }
    }

    pub fn each_mut(&mut self) -> [&mut SpeedFilter; 2] {
        [&mut self.steady, &mut self.fluctuating]
    }
}
