mod run;
mod scheduling_state;

pub use run::Rounds;
use scheduling_state::SchedulingState;
