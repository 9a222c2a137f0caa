mod table;

pub(crate) use table::InFlight;
pub use table::{Runner, RunnerTable};
