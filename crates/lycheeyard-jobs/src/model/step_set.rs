use super::{JobError, validate::MAX_STEPS};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::{fmt, iter::successors};

const WORD_BITS: usize = u64::BITS as usize;
const WORDS: usize = MAX_STEPS / WORD_BITS;

/// A set of positions of steps, in the same small space whatever their number is. It is stored as a list.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
pub struct StepSet([u64; WORDS]);

impl StepSet {
    /// Creates a set.
    ///
    /// # Errors
    /// Fails with [`JobError::NoSuchStep`] if a position is beyond those that a job can have.
    pub fn new(positions: impl IntoIterator<Item = usize>) -> Result<Self, JobError> {
        let mut words = [0; WORDS];
        for position in positions {
            let word = words.get_mut(position / WORD_BITS);
            *word.ok_or(JobError::NoSuchStep(position))? |= 1 << (position % WORD_BITS);
        }
        Ok(Self(words))
    }

    /// Whether the set has no position.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the positions in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let words = self.0.iter().enumerate();
        words.flat_map(|(index, &word)| ones(word).map(move |bit| index * WORD_BITS + bit))
    }
}

/// Returns the positions of the ones in a word in ascending order.
fn ones(word: u64) -> impl Iterator<Item = usize> {
    let not_empty = |word: u64| (word != 0).then_some(word);
    let rests = successors(not_empty(word), move |rest| not_empty(rest & (rest - 1)));
    rests.map(|rest| rest.trailing_zeros() as usize)
}

impl fmt::Debug for StepSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}

impl Serialize for StepSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for StepSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let positions = Vec::<usize>::deserialize(deserializer)?;
        Self::new(positions).map_err(D::Error::custom)
    }
}
