use super::LoadDocument;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// One request that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When it is due, after the start of the run.
    pub due: Duration,
    /// The position of its organisation in the document.
    pub organisation: usize,
}

/// Random arrivals with exponential gaps; the same seed gives the same arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: SmallRng,
    shares: Vec<u32>,
    mean_gap: Duration,
    due: Duration,
}

impl Arrivals {
    /// Makes the arrivals of a document with the given mean rate in requests a second.
    #[must_use]
    pub fn new(document: &LoadDocument, rate: u32) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(document.seed),
            shares: document.organisations.iter().map(|one| one.share).collect(),
            mean_gap: Duration::from_secs(1) / rate.max(1),
            due: Duration::ZERO,
        }
    }

    /// The position of a random organisation, by shares.
    pub fn choose_organisation(&mut self) -> usize {
        let total: u32 = self.shares.iter().sum();
        let mut left = self.rng.random_range(0..total.max(1));
        for (index, &share) in self.shares.iter().enumerate() {
            if left < share {
                return index;
            }
            left -= share;
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
