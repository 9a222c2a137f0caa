//! Writes a process's log lines within a budget, without ever holding the work up.

mod budget;
mod budget_filter;
mod left_out;
mod log_filter;
mod log_format;
mod start;

pub use budget::LogBudget;
pub use budget_filter::BudgetFilter;
pub use left_out::{export_dropped_lines, report_dropped_lines};
pub use log_filter::LogFilter;
pub use log_format::LogFormat;
pub use start::{LogGuard, LogOutput, LogSettings, log_subscriber, start_logs};
