mod election;
mod holder;
mod term;

pub(crate) use election::win_term;
pub(crate) use holder::{keep_term, resign};
pub use term::{Term, TermStanding};
