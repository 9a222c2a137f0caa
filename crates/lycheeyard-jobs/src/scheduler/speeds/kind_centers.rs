use super::{
    filter::{LASTING_VARIANCE, SpeedFilter},
    scale::probability_of_difference,
};
use std::collections::BTreeMap;

/// The share of the kinds that is taken to differ from the others.
const DIFFERING_KINDS: f64 = 0.1;

/// The evidence of the workers of one kind: sums of weights and of weighted values.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    value: f64,
}

/// The speed of each kind of worker relative to the usual one, which is taken for workers of which nothing is known.
#[derive(Clone, Debug)]
pub(super) struct KindCenters(BTreeMap<String, f64>);

impl KindCenters {
    pub fn new<'a>(workers: impl Iterator<Item = (&'a str, &'a SpeedFilter)>, usual: f64) -> Self {
        let mut kinds: BTreeMap<&str, Sums> = BTreeMap::new();
        for (kind, filter) in workers {
            let sums = kinds.entry(kind).or_default();
            if let Some((value, variance)) = filter.lasting().evidence() {
                // Workers of one kind may differ themselves.
                let weight = 1.0 / (variance + LASTING_VARIANCE);
                sums.weight += weight;
                sums.value += weight * value;
            }
        }
        if kinds.len() < 2 {
            return Self(BTreeMap::new());
        }
        let centers = kinds
            .into_iter()
            .map(|(kind, sums)| (kind.to_owned(), sums.center(usual)));
        Self(centers.collect())
    }

    /// The natural logarithm of the speed of a kind; 0 where no difference is established.
    pub fn of(&self, kind: &str) -> f64 {
        self.0.get(kind).copied().unwrap_or(0.0)
    }
}

impl Sums {
    fn center(self, usual: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let value = self.value / self.weight - usual;
        let variance = 1.0 / self.weight;
        let probability =
            probability_of_difference(value, variance, LASTING_VARIANCE, DIFFERING_KINDS);
        if probability < 0.5 {
            return 0.0;
        }
        value * LASTING_VARIANCE / (LASTING_VARIANCE + variance)
    }
}
