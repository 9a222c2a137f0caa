//! Writes the log lines of a process at a limited rate, without ever blocking the code that logs.

mod dropped_lines;
mod line_queue;
mod log_filter;
mod log_format;
mod rate_limit_filter;
mod rate_limiter;
mod start;

pub use dropped_lines::{export_dropped_lines, report_dropped_lines};
pub use log_filter::LogFilter;
pub use log_format::LogFormat;
pub use rate_limit_filter::RateLimitFilter;
pub use rate_limiter::LogRateLimiter;
pub use start::{LogGuard, LogOutput, LogSettings, log_subscriber, start_logs};
