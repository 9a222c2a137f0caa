mod election;
mod holder;
mod state;

pub(crate) use election::acquire_term;
pub(crate) use holder::{release_term, renew_term};
pub use state::{Term, TermState};
