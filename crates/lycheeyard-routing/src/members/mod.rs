mod follow;
mod pulse;
mod refresh;
mod usage;

pub(crate) use follow::follow;
pub(crate) use pulse::answer_pulse;
pub(crate) use refresh::refresh;
pub(crate) use usage::PeerUsage;
