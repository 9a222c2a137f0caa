mod entry_instance;
mod live_runner;
mod table;

pub(crate) use entry_instance::EntryInstance;
pub use live_runner::Runner;
pub use table::RunnerTable;
