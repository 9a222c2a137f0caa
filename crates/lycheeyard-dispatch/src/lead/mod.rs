mod asker;
mod clocks;
mod context;
mod event;
mod lead;
mod load;
mod log_lines;
mod orders;
mod requests;
mod run;
mod worker_list;
mod writer;

pub use context::{Dispatcher, WorkerReader};
pub use run::run_scheduler;
