mod round_state;
mod run;

use round_state::RoundState;
pub use run::Rounds;
