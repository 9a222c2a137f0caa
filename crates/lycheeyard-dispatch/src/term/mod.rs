mod election;
mod extending_term;
mod hand_over;
mod holder;
mod instance_size;
mod state;

pub(crate) use election::{Candidate, acquire_term};
pub(crate) use extending_term::ExtendingTerm;
pub(crate) use hand_over::follow_hand_over_requests;
pub(crate) use holder::{release_term, renew_term};
pub use instance_size::InstanceSize;
pub(crate) use state::successor_grace;
pub use state::{Term, TermState};
