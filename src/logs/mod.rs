//! Reads the log lines that instances on the users' platform have written.

mod job_course;
mod log_files;
mod log_line;

pub use job_course::{JobCourse, Stage};
pub use log_files::LogFiles;
pub use log_line::LogLine;
