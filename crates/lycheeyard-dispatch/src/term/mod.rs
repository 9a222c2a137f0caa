mod election;
mod holder;
mod standing;

pub(crate) use election::win_term;
pub(crate) use holder::{keep_term, resign};
pub use standing::{Term, TermState};
