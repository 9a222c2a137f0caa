use super::Regime;

/// The log odds before anything is known: speeds are taken to be steady until several observations say otherwise.
const INITIAL: f64 = 3.0;
/// The evidence of one observation is worth this part of it after each further one, so that some hundred observations count.
const KEPT: f64 = 0.995;
/// Bounds of the log odds, so that they can turn.
const MAX: f64 = 30.0;
/// The regime changes only once the odds are this far on the other side.
const HYSTERESIS: f64 = 1.0;

/// Decides between the regimes by how well the estimates under each of them have predicted the observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegimeOdds {
    /// The logarithm of the odds of [`Regime::Steady`].
    log_odds: f64,
    regime: Regime,
}

impl Default for RegimeOdds {
    fn default() -> Self {
        Self {
            log_odds: INITIAL,
            regime: Regime::Steady,
        }
    }
}

impl RegimeOdds {
    /// The regime that is in force.
    pub fn regime(self) -> Regime {
        self.regime
    }

    /// Adds the logarithms of the probability densities that an observation had under each regime.
    pub fn add(&mut self, steady: f64, fluctuating: f64) {
        let evidence = steady - fluctuating;
        if !evidence.is_finite() {
            return;
        }
        self.set(KEPT * self.log_odds + evidence);
    }

    pub fn log_odds(self) -> f64 {
        self.log_odds
    }

    /// Sets the log odds, as they were stored.
    pub fn set(&mut self, log_odds: f64) {
        self.log_odds = log_odds.clamp(-MAX, MAX);
        if self.log_odds > HYSTERESIS {
            self.regime = Regime::Steady;
        } else if self.log_odds < -HYSTERESIS {
            self.regime = Regime::Fluctuating;
        }
    }
}
