mod follow;
mod pulse;
mod refresh;
mod usage;

pub(crate) use follow::follow;
pub(crate) use pulse::answer_pulse;
pub(crate) use refresh::{catch_up, refresh};
pub(crate) use usage::PeerUsage;
