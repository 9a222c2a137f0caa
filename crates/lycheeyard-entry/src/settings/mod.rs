mod error;
mod flag;
mod log_filter;
mod log_format;
mod options;
mod read;

pub use error::SettingsError;
pub use log_filter::LogFilter;
pub use log_format::LogFormat;
pub use options::Settings;
pub use read::{SettingsStep, read_settings};
