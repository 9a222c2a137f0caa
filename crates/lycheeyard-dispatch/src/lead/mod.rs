mod advice;
mod asker;
mod askers;
mod clocks;
mod context;
mod event;
mod leadership;
mod load;
mod log_lines;
mod orders;
mod requests;
mod run;
mod take_events;
mod term_end;
mod worker_list;
mod writer;

pub use context::{Dispatcher, WorkerReader};
pub use run::run_scheduler;
