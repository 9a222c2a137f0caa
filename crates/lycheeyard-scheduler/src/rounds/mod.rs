mod follow_ups;
mod orphans;
mod planning;
mod run;
mod scheduling_state;

pub use run::Rounds;
use scheduling_state::SchedulingState;
