use super::LoadDocument;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// A scheduled request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// The scheduled time, relative to the start of the run.
    pub due: Duration,
    /// The index of the organisation in the load document.
    pub organisation: usize,
}

/// A Poisson process of arrivals, with exponential gaps. The same seed gives the same arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: SmallRng,
    shares: Vec<u32>,
    mean_gap: Duration,
    due: Duration,
}

impl Arrivals {
    /// Creates the arrivals of a load document with a mean rate in requests per second.
    #[must_use]
    pub fn new(document: &LoadDocument, rate: u32) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(document.seed),
            shares: document
                .organisations
                .iter()
                .map(|organisation| organisation.share)
                .collect(),
            mean_gap: Duration::from_secs(1) / rate.max(1),
            due: Duration::ZERO,
        }
    }

    /// Draws the index of an organisation, with probabilities in proportion to the shares.
    pub fn choose_organisation(&mut self) -> usize {
        let total: u32 = self.shares.iter().sum();
        let mut remaining = self.rng.random_range(0..total.max(1));
        for (index, &share) in self.shares.iter().enumerate() {
            if remaining < share {
                return index;
            }
            remaining -= share;
        }
        0
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.due += self.mean_gap.mul_f64(-uniform.ln());
        Some(Arrival {
            due: self.due,
            organisation: self.choose_organisation(),
        })
    }
}
